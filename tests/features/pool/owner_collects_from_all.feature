Feature: A new owner learns what is granted before it grants

  Scenario: requests wait until every entry has answered
    Guards against an owner that takes occupied places for free ones.

    Given a pool with peers e1, e2 and decode=1 places=2
    Then the pool asks own, e1, e2 for live grants
    When the pool is asked for new with priority=0
    Then the pool grants nothing
    When e1 tells the pool of 1 live grants on g0-d0
    Then the pool grants nothing
    When e2 tells the pool of 0 live grants on g0-d0
    Then the pool grants new
    When the pool is asked for more with priority=0
    Then the pool grants nothing
