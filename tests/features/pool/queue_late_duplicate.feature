Feature: Requests wait only if they can be served in time

  Scenario: a released attempt is not queued again by a late duplicate
    Guards against a place reserved for a request that has ended.

    Given a pool with decode=1 places=1
    When the pool is asked for a with attempt=1
    And the pool learns that a is released
    And the pool is asked for a with attempt=1
    Then the pool grants nothing
