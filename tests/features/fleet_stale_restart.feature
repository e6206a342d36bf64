Feature: A configuration service that serves an old text

  Scenario: a restarted daemon never runs the old text
    Guards against a restart that rolls a daemon back.

    Given a fleet of 5+2 daemons that all run text 3
    When the fleet sees its configuration service go stale
    And the fleet restarts i0-002
    Then the fleet has text 3 everywhere within 5 s
    And the fleet saw i0-002 go through texts 3
    When the fleet runs for 60 s
    Then the fleet has text 3 everywhere within 0 s
    And the fleet counted configuration.refused 0 times
