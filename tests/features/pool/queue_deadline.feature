Feature: Requests wait only if they can be served in time

  Scenario: a request is refused at its deadline
    Guards against requests that wait forever.

    Given a pool with decode=1 places=1
    And the pool decodes held with priority=0
    When the pool is asked for a with wait_s=0.5
    Then the pool refuses nothing
    When 0.6 seconds pass for the pool
    Then the pool refuses a for deadline
