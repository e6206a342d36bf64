Feature: Two texts in quick succession

  Scenario: all daemons end at the later one
    Guards against a difference that arrives before the one it is based on.

    Given a fleet of 8+3 daemons that all run text 1
    And the fleet has a lost message for every 4 sent
    When the fleet gets a good text
    And the fleet runs for 0.1 s
    And the fleet gets a good text
    Then the fleet has text 3 everywhere within 10 s
