Feature: Requests wait only where waiting helps

  Scenario: a group whose runners all leave refuses at once
    Guards against new work on a runner that stops.

    Given a pool with decode=1 places=2
    And the pool is told that g0-d0 is leaving
    When the pool is asked for a with priority=0
    Then the pool refuses a for no_runner
