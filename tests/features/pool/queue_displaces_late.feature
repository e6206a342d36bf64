Feature: Requests wait only where waiting helps

  Scenario: a request on time displaces one that is late already
    Guards against a full queue of requests that cannot be served well.

    Given a pool with decode=1 places=1 queue_limit=1
    And the pool decodes held with priority=0
    When the pool is asked for old with priority=0
    And 1.0 seconds pass for the pool
    And the pool is asked for fresh with priority=0
    Then the pool refuses old for queue_full
