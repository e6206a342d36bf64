Feature: A restart while the configuration service serves an invalid text

  Scenario: the last valid text comes from peers
    Guards against a daemon that treats older texts as refused ones.

    Given a fleet of 6 daemons with text revision 1
    When the fleet gets a faulty text
    And the fleet runs for 5 s
    And the fleet restarts i0-003
    Then the fleet has text revision 1 everywhere within 5 s
