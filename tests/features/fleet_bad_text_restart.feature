Feature: A restart while the service holds a bad text

  Scenario: the last good text comes from peers
    Guards against a daemon that takes older texts for refused ones.

    Given a fleet of 6 daemons that all run text 1
    When the fleet gets a faulty text
    And the fleet runs for 5 s
    And the fleet restarts i0-003
    Then the fleet has text 1 everywhere within 5 s
