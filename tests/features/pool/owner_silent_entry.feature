Feature: A new owner collects the live grants before it grants

  Scenario: a silent entry delays grants for 0.3 seconds only
    Guards against an owner that waits for a lost instance.

    Given a pool with peers e1, e2 and decode=1
    When the pool is asked for new with priority=0
    And 0.2 seconds pass for the pool
    Then the pool grants nothing
    When 0.2 seconds pass for the pool
    Then the pool grants new
