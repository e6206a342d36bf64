Feature: Work of a higher priority gets a place in a full group

  Scenario: a stream that was paused for long resumes before priority work
    Guards against streams that never end under steady priority work.

    Given a pool with prefill=2 decode=1 places=2 pieces=100
    And the pool decodes a, b with priority=0
    When the pool is asked for u1 with priority=1
    And the pool learns that a is paused
    And 11.0 seconds pass for the pool
    And the pool is asked for u2 with priority=1
    Then the pool pauses nothing
    And the pool grants nothing
    When the pool learns that u1 is released
    Then the pool resumes a
