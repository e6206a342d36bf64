Feature: A slow prefill runner gets no more work

  Scenario: later prefills avoid the runner of an overdue one
    Guards against requests that queue behind a runner slowed ten times.

    Given a pool with prefill=2 decode=2 places=40 pieces=400
    When the pool is asked for stuck with prompt_tokens=1000
    Then the pool gave stuck the runners g0-p0 and g0-d0
    When 0.3 seconds pass for the pool
    And the pool is asked for 2 requests
    Then the pool never chose g0-p0
