Feature: A graceful stop

  Scenario: peers learn of it at once, and the exit waits for requests
    Guards against a stop that interrupts requests.

    Given a fleet of 20 daemons with text revision 1
    When the fleet has i0-004 drain with 2 requests in progress
    And the fleet runs for 0.2 s
    Then every fleet member sees i0-004 as leaving
    When the fleet runs for 10 s
    Then every fleet member sees i0-004 as leaving
    And fleet member i0-004 is not ready to exit
    When the fleet has i0-004 complete its requests
    And the fleet runs for 0.2 s
    Then fleet member i0-004 is ready to exit
