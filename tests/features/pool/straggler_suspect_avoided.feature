Feature: A slow prefill runner gets no more work

  Scenario: a suspect runner is avoided while others are free
    Guards against work on a runner that others have seen to be slow.

    Given a pool with prefill=2 decode=2 places=40 pieces=400
    And the pool has g0-p0 marked as suspect
    And the pool decodes probe with priority=0
    When the pool is asked for 1 requests
    Then the pool never chose g0-p0
