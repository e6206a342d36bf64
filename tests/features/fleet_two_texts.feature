Feature: Two texts in quick succession

  Scenario: all daemons end with the later one
    Guards against a text difference that arrives before its base revision.

    Given a fleet of 8+3 daemons with text revision 1
    And the fleet loses one of 4 messages
    When the fleet gets a good text
    And the fleet runs for 0.1 s
    And the fleet gets a good text
    Then the fleet has text revision 3 everywhere within 10 s
