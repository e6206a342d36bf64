Feature: A new owner collects the live grants before it grants

  Scenario: the only instance of a region grants at once
    Guards against a delayed first request in a small fleet.

    Given a pool of 1 prefill and 1 decode runners
    When the pool is asked for new with priority=0
    Then the pool grants new
