Feature: Requests wait only if they can be served in time

  Scenario: a request of a higher priority displaces one of the lowest
    Guards against a queue filled by latency-tolerant work.

    Given a pool with decode=1 places=1 queue_limit=2
    And the pool decodes held with priority=2
    When the pool is asked for a with priority=1
    And the pool is asked for b with priority=0
    And the pool is asked for c with priority=0
    Then the pool refuses c for queue_full
    When the pool is asked for d with priority=1
    Then the pool refuses b for queue_full
