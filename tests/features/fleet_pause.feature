Feature: A daemon that is paused and resumes

  Scenario: it detects the pause, suspects no peer and catches up
    Guards against a resumed daemon that acts on outdated state, and that
    takes its own pause for an outage of its peers.

    Given a fleet of 6 daemons with text revision 1
    When the fleet has the link between i0-001 and i0-002 cut
    And the fleet runs for 1.2 s
    And the fleet has i0-001 paused for 12 s
    And the fleet has the link between i0-001 and i0-003 cut
    And the fleet has i0-001 record 2 failed calls to i0-003
    Then fleet member i0-001 has detected a recent pause
    And fleet member i0-001 sees i0-002 as live
    And fleet member i0-001 sees i0-003 as live
    When the fleet has all links restored
    And the fleet gets a good text
    Then the fleet has text revision 2 everywhere within 2 s
    When the fleet runs for 3 s
    Then fleet member i0-001 has a fresh instance list
    And the fleet has only live peers
