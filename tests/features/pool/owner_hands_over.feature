Feature: A new owner learns what is granted before it grants

  Scenario: waiting requests go on to the next owner
    Guards against requests that wait for an owner that is none any more.

    Given a pool with peers e1 and decode=1 places=1
    When e1 tells the pool of 1 live grants on g0-d0
    And the pool is asked for waiting with priority=0
    And the pool hands its groups to e1
    Then the pool sends waiting to e1
