Feature: Two daemons that cannot reach each other

  Scenario: only they suspect each other
    Guards against a peer that is suspected on the report of another daemon
    without a check of its own.

    Given a fleet of 4 daemons with text revision 1
    When the fleet has the link between i0-000 and i0-001 cut
    And the fleet runs for 20 s
    Then fleet member i0-001 sees i0-000 as suspect
    And fleet member i0-002 sees i0-000 as live
    And fleet member i0-003 sees i0-001 as live
    When the fleet has all links restored
    And the fleet runs for 5 s
    Then the fleet has only live peers
