Feature: The instance list is down

  Scenario: the list stays in use but is not fresh after 10 s
    Guards against claims decided with an outdated list.

    Given a fleet of 6 daemons with text revision 1
    When the fleet sees its instance list go down
    And the fleet runs for 5 s
    Then fleet member i0-000 has a fresh instance list
    When the fleet runs for 6 s
    Then fleet member i0-000 has no fresh instance list
    And the fleet has only live peers
    When the fleet sees its instance list go up
    And the fleet runs for 12 s
    Then fleet member i0-000 has a fresh instance list
