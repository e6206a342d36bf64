Feature: A new owner collects the live grants before it grants

  Scenario: waiting requests are forwarded to the next owner
    Guards against requests that wait at a former owner.

    Given a pool with peers e1 and decode=1 places=1
    When e1 reports 1 live grants on g0-d0 to the pool
    And the pool is asked for waiting with priority=0
    And the pool hands its groups to e1
    Then the pool sends waiting to e1
