Feature: Requests wait only if they can be served in time

  Scenario: a repeated request gets the same grant
    Guards against a second reservation for one request.

    Given a pool with decode=1 places=1
    When the pool is asked for a with attempt=1
    Then the pool grants a
    When the pool is asked for a with attempt=1
    Then the pool grants a
    When the pool is asked for a with attempt=2
    Then the pool grants a
