Feature: A daemon that dies

  Scenario: all others of its region suspect it before the list drops it
    Guards against a dead owner that is asked again and again.

    Given a fleet of 20 daemons that all run text 1
    When the fleet loses i0-007
    And the fleet runs for 8 s
    Then every fleet member sees i0-007 as suspect
    When the fleet restarts i0-007
    And the fleet runs for 5 s
    Then the fleet has no peer that is not live
