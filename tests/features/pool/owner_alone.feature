Feature: A new owner learns what is granted before it grants

  Scenario: an instance that is alone does not wait
    Guards against a delay of the first request of a small fleet.

    Given a pool of 1 prefill and 1 decode runners
    When the pool is asked for new with priority=0
    Then the pool grants new
