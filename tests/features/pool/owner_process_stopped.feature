Feature: A new owner collects the live grants before it grants

  Scenario: a process that was paused collects live grants again
    Guards against grants from an outdated ledger.

    Given a pool with peers e1 and decode=1 places=2
    When e1 reports 2 live grants on g0-d0 to the pool
    And the pool process stops for 5.0 seconds
    Then the pool asks own, e1 for live grants
    When the pool is asked for new with priority=0
    Then the pool grants nothing
    When e1 reports 2 live grants on g0-d0 to the pool
    Then the pool grants nothing
