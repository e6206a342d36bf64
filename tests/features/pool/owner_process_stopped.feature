Feature: A new owner learns what is granted before it grants

  Scenario: a process that was stopped collects again
    Guards against grants from a ledger that others have changed.

    Given a pool with peers e1 and decode=1 places=2
    When e1 tells the pool of 2 live grants on g0-d0
    And the pool process stops for 5.0 seconds
    Then the pool asks own, e1 for live grants
    When the pool is asked for new with priority=0
    Then the pool grants nothing
    When e1 tells the pool of 2 live grants on g0-d0
    Then the pool grants nothing
