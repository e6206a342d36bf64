Feature: Requests wait only if they can be served in time

  Scenario: a request that cannot be served by its deadline is refused at once
    Guards against callers that wait for a certain refusal.

    Given a pool with decode=1 places=12 pieces=100
    And the pool decodes a, b, c, d, e, f, g, h, i, j with wait_s=9
    When the pool learns that all of a, b, c, d, e, f, g, h, i, j are released
    And the pool decodes A, B, C, D, E, F, G, H, I, J, K, L with wait_s=9
    And the pool is asked for patient with wait_s=9
    Then the pool refuses nothing
    When the pool is asked for hasty with wait_s=0.9
    Then the pool refuses hasty for deadline
