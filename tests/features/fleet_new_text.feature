Feature: A new valid text

  Scenario: it takes effect on every daemon in time
    Guards against a text that spreads only with heartbeats.

    Given a fleet of 20+6+6 daemons with text revision 1
    When the fleet gets a good text
    Then the fleet has text revision 2 everywhere within 1 s
    And the fleet counted configuration.other_base 0 times
    And the fleet counted configuration.mismatch 0 times
