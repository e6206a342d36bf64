Feature: A new owner collects the live grants before it grants

  Scenario: the places of a lost entry are released
    Guards against places that stay reserved until the lease ends.

    Given a pool with peers e1, e2 and decode=1 places=1
    When e1 reports 1 live grants on g0-d0 to the pool
    And e2 reports 0 live grants on g0-d0 to the pool
    And the pool is asked for waiting with sender="e2"
    Then the pool grants nothing
    When the pool loses e1 from its instance list
    Then the pool grants waiting
