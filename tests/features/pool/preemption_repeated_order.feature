Feature: Work of a higher priority gets a place in a full group

  Scenario: an unconfirmed order is sent again
    Guards against a pause that is lost with its message.

    Given a pool with prefill=2 decode=1 places=2 pieces=100
    And the pool decodes a, b with priority=0
    When the pool is asked for urgent with priority=1
    And 1.2 seconds pass for the pool
    Then the pool pauses a
