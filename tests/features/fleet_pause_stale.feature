Feature: A daemon that resumes while the instance list is down

  Scenario: its list is not fresh
    Guards against claims decided with a list from before the pause.

    Given a fleet of 6 daemons with text revision 1
    When the fleet sees its instance list go down
    And the fleet has i0-001 paused for 3 s
    And the fleet runs for 0.2 s
    Then fleet member i0-001 has no fresh instance list
    When the fleet sees its instance list go up
    And the fleet runs for 5 s
    Then fleet member i0-001 has a fresh instance list
