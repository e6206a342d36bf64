Feature: A long outage of the configuration service

  Scenario: a restarted daemon gets the text from its peers
    Guards against a daemon that cannot start while the service is down.

    Given a fleet of 5+2 daemons with text revision 3
    When the fleet sees its configuration service go down
    And the fleet runs for 60 s
    And the fleet restarts i0-002
    Then the fleet has text revision 3 everywhere within 5 s
    And fleet member i0-002 has run the text revisions 3 since its start
    When the fleet gets a good text
    And the fleet sees its configuration service go up
    Then the fleet has text revision 4 everywhere within 12 s
