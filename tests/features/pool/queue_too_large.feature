Feature: Requests wait only if they can be served in time

  Scenario: a request that needs more memory than a runner has is refused
    Guards against a request that waits for more than can ever be free.

    Given a pool with decode=1 places=2 pieces=10
    When the pool is asked for huge with prompt_tokens=20000
    Then the pool refuses huge for no_capacity
