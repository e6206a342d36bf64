Feature: Work of a higher priority gets a place in a full group

  Scenario: the paused stream resumes before new work of its priority
    Guards against paused streams that starve behind fresh arrivals.

    Given a pool with prefill=2 decode=1 places=2 pieces=100
    And the pool decodes a, b with priority=0
    When the pool is asked for urgent with priority=1
    Then the pool pauses a
    When the pool learns that a is paused
    And the pool is asked for fresh with priority=0
    Then the pool grants nothing
    When the pool learns that b is released
    Then the pool resumes a
    And the pool grants nothing
    When the pool learns that a is resumed
    And the pool learns that urgent is released
    Then the pool grants fresh
