Feature: A configuration service that serves an old text

  Scenario: a restarted daemon never runs the old text
    Guards against a restart that returns a daemon to an older text.

    Given a fleet of 5+2 daemons with text revision 3
    When the fleet sees its configuration service go stale
    And the fleet restarts i0-002
    Then the fleet has text revision 3 everywhere within 5 s
    And fleet member i0-002 has run the text revisions 3 since its start
    When the fleet runs for 60 s
    Then the fleet has text revision 3 everywhere within 0 s
    And the fleet counted configuration.refused 0 times
