Feature: Requests wait only if they can be served in time

  Scenario: an on-time request displaces a late one
    Guards against a queue filled by requests that miss their target.

    Given a pool with decode=1 places=1 queue_limit=1
    And the pool decodes held with priority=0
    When the pool is asked for old with priority=0
    And 1.0 seconds pass for the pool
    And the pool is asked for fresh with priority=0
    Then the pool refuses old for queue_full
