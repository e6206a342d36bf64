Feature: Work of a higher priority gets a place in a full group

  Scenario: the smallest stream is paused and the request granted at once
    Guards against priority work that waits behind latency-tolerant work.

    Given a pool with prefill=2 decode=1 places=2 pieces=100
    And the pool decodes big with prompt_tokens=9000
    And the pool decodes small with prompt_tokens=500
    When the pool is asked for urgent with priority=1
    Then the pool pauses small
    And the pool grants urgent
