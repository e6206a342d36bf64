Feature: A new text without faults

  Scenario: it is in force everywhere in time
    Guards against a text that waits for heartbeats to spread.

    Given a fleet of 20+6+6 daemons that all run text 1
    When the fleet gets a good text
    Then the fleet has text 2 everywhere within 1 s
    And the fleet counted configuration.other_base 0 times
    And the fleet counted configuration.mismatch 0 times
