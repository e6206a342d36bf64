Feature: The instance list is down

  Scenario: the list stays in use but is not fresh after 10 s
    Guards against claims decided on an old list.

    Given a fleet of 6 daemons that all run text 1
    When the fleet sees its instance list go down
    And the fleet runs for 5 s
    Then fleet member i0-000 has a fresh list
    When the fleet runs for 6 s
    Then fleet member i0-000 has no fresh list
    And the fleet has no peer that is not live
    When the fleet sees its instance list go up
    And the fleet runs for 12 s
    Then fleet member i0-000 has a fresh list
