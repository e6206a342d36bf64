Feature: Requests wait only if they can be served in time

  Scenario: a group whose runners all leave refuses at once
    Guards against new work on a leaving runner.

    Given a pool with decode=1 places=2
    And the pool has g0-d0 marked as leaving
    When the pool is asked for a with priority=0
    Then the pool refuses a for no_runner
