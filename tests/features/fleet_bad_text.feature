Feature: An invalid text

  Scenario: it is refused, fetched a few times only, and the last one stays
    Guards against an invalid text that is fetched again and again.

    Given a fleet of 6 daemons with text revision 1
    When the fleet gets a faulty text
    And the fleet runs for 60 s
    Then the fleet has text revision 1 everywhere within 0 s
    And the fleet counted configuration.refused 2 times
    And the fleet has refused text revision 2 for a fault at services.s.kind
    When the fleet gets a good text
    Then the fleet has text revision 3 everywhere within 1 s
