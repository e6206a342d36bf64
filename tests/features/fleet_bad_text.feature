Feature: A text that does not check

  Scenario: it is refused, read a few times only, and the last one stays
    Guards against a bad text that is read again and again.

    Given a fleet of 6 daemons that all run text 1
    When the fleet gets a faulty text
    And the fleet runs for 60 s
    Then the fleet has text 1 everywhere within 0 s
    And the fleet counted configuration.refused 2 times
    And the fleet has refused text 2 because of services.s.kind
    When the fleet gets a good text
    Then the fleet has text 3 everywhere within 1 s
