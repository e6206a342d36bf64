Feature: A new owner collects the live grants before it grants

  Scenario: requests wait until every entry has answered
    Guards against an owner that grants places which are occupied.

    Given a pool with peers e1, e2 and decode=1 places=2
    Then the pool asks own, e1, e2 for live grants
    When the pool is asked for new with priority=0
    Then the pool grants nothing
    When e1 reports 1 live grants on g0-d0 to the pool
    Then the pool grants nothing
    When e2 reports 0 live grants on g0-d0 to the pool
    Then the pool grants new
    When the pool is asked for more with priority=0
    Then the pool grants nothing
