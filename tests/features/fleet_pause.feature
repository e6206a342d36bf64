Feature: A daemon that is paused and resumes

  Scenario: it notices, blames nobody and catches up
    Guards against a paused daemon that acts on what it knew before, and that
    takes its own silence for that of its peers.

    Given a fleet of 6 daemons that all run text 1
    When the fleet has the link between i0-001 and i0-002 cut
    And the fleet runs for 1.2 s
    And the fleet has i0-001 paused for 12 s
    And the fleet has the link between i0-001 and i0-003 cut
    And the fleet has i0-001 learn of 2 failures to reach i0-003
    Then fleet member i0-001 was paused just now
    And fleet member i0-001 sees i0-002 as live
    And fleet member i0-001 sees i0-003 as live
    When the fleet has its links whole again
    And the fleet gets a good text
    Then the fleet has text 2 everywhere within 2 s
    When the fleet runs for 3 s
    Then fleet member i0-001 has a fresh list
    And the fleet has no peer that is not live
