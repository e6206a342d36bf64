Feature: A long outage of the configuration service

  Scenario: a restarted daemon gets the text from its peers
    Guards against a daemon that cannot start while the service is down.

    Given a fleet of 5+2 daemons that all run text 3
    When the fleet sees its configuration service go down
    And the fleet runs for 60 s
    And the fleet restarts i0-002
    Then the fleet has text 3 everywhere within 5 s
    And the fleet saw i0-002 go through texts 3
    When the fleet gets a good text
    And the fleet sees its configuration service go up
    Then the fleet has text 4 everywhere within 12 s
