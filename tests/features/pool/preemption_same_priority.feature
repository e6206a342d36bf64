Feature: Work of a higher priority gets a place in a full group

  Scenario: a stream of the same priority is not paused
    Guards against priority requests that pause one another.

    Given a pool with prefill=2 decode=1 places=2 pieces=100
    And the pool decodes a, b with priority=1
    When the pool is asked for urgent with priority=1
    Then the pool pauses nothing
    And the pool grants nothing
