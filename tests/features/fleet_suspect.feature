Feature: A daemon that crashes

  Scenario: its region suspects it before the instance list drops it
    Guards against repeated calls to an owner that has crashed.

    Given a fleet of 20 daemons with text revision 1
    When the fleet has i0-007 killed
    And the fleet runs for 8 s
    Then every fleet member sees i0-007 as suspect
    When the fleet restarts i0-007
    And the fleet runs for 5 s
    Then the fleet has only live peers
