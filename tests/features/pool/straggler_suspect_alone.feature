Feature: A slow prefill runner gets no more work

  Scenario: a suspect runner is used if it is the only one
    Guards against a group that refuses requests while it has a runner.

    Given a pool with prefill=1 decode=1 places=2
    And the pool has g0-p0 marked as suspect
    And the pool has g0-d0 marked as suspect
    When the pool is asked for a with priority=1
    Then the pool grants a
