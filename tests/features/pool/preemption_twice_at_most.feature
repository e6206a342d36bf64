Feature: Work of a higher priority gets a place in a full group

  Scenario: a stream is paused at most twice
    Guards against a stream that every priority request pauses again.

    Given a pool with prefill=2 decode=1 places=2 pieces=100
    And the pool decodes a, b with priority=0
    When the pool learns that b has 5000 tokens
    And the pool is asked for u1 with priority=1
    Then the pool pauses a
    When the pool learns that a is paused
    And the pool learns that u1 is released
    Then the pool resumes a
    When the pool learns that a is resumed
    And the pool is asked for u2 with priority=1
    Then the pool pauses a
    When the pool learns that a is paused
    And the pool learns that u2 is released
    Then the pool resumes a
    When the pool learns that a is resumed
    And the pool is asked for u3 with priority=1
    Then the pool pauses b
