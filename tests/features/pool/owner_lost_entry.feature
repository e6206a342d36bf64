Feature: A new owner learns what is granted before it grants

  Scenario: what a lost entry held is free again
    Guards against places that stay taken until the lease ends.

    Given a pool with peers e1, e2 and decode=1 places=1
    When e1 tells the pool of 1 live grants on g0-d0
    And e2 tells the pool of 0 live grants on g0-d0
    And the pool is asked for waiting with sender="e2"
    Then the pool grants nothing
    When the pool sees e1 lost
    Then the pool grants waiting
