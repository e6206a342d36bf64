Feature: Calls to a peer that fail

  Scenario Outline: <count> failures in a row make the peer <state>
    Guards against a peer suspected for one lost connection, and against one
    that is asked for ever.

    Given a fleet of 6 daemons that all run text 1
    When the fleet has the link between i0-001 and i0-004 cut
    And the fleet has i0-001 learn of <count> failures to reach i0-004
    Then fleet member i0-001 sees i0-004 as <state>

    Examples:
      | count | state   |
      | 1     | live    |
      | 2     | suspect |
