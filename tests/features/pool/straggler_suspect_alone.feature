Feature: A slow prefill runner gets no more work

  Scenario: a suspect runner serves when it is the only one
    Guards against a group that refuses while it has a runner.

    Given a pool with prefill=1 decode=1 places=2
    And the pool is told that g0-p0 is suspect
    And the pool is told that g0-d0 is suspect
    When the pool is asked for a with priority=1
    Then the pool grants a
