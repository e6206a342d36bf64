Feature: Failed calls to a peer

  Scenario Outline: <count> failures in a row make the peer <state>
    Guards against a peer that is suspected after one lost connection, and
    against endless calls to a peer that cannot be reached.

    Given a fleet of 6 daemons with text revision 1
    When the fleet has the link between i0-001 and i0-004 cut
    And the fleet has i0-001 record <count> failed calls to i0-004
    Then fleet member i0-001 sees i0-004 as <state>

    Examples:
      | count | state   |
      | 1     | live    |
      | 2     | suspect |
