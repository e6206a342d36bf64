@fault_fleet
Feature: Streams survive the loss of processes

  The fleet has 3 daemons, 2 prefill and 2 decode engines. The received text is
  compared with the text that the engines generate.

  Scenario: a decode engine is killed in mid-stream
    Guards against answers that are truncated or that repeat tokens which
    the caller already has (invariants 2 and 3).

    When the fault fleet has 6 streams through daemons 1, 2 and 3
    And the busiest decode engine of the fault fleet is killed
    Then every stream of the fault fleet is complete and correct
    And the fault fleet has free engine memory and no abandoned stream

  Scenario: an entry daemon is killed with streams in progress
    Guards against engine memory that stays allocated for callers of a dead
    daemon (invariant 1). The target is 5 s after the platform shows the
    loss; the poll timeout of 15 s adds the delay of the instance list and a
    margin.

    When the fault fleet has 6 unending streams through daemons 1
    And daemon 1 of the fault fleet is killed
    Then the fault fleet completes 4 new streams through daemons 2 and 3
    And the fault fleet has free engine memory and no abandoned stream

  Scenario: callers disconnect in mid-stream
    Guards against engine memory that stays allocated for a caller that has
    disconnected (invariant 1).

    When the fault fleet has 6 unending streams through daemons 1, 2 and 3
    And all callers of the fault fleet disconnect
    Then the fault fleet has free engine memory and no abandoned stream
    And the fault fleet completes 3 new streams through daemons 1, 2 and 3

  Scenario: open streams of a decode engine stall
    Guards against callers that wait on an upstream connection which
    delivers no more data (invariant 3).

    When the fault fleet has 6 streams through daemons 1, 2 and 3
    And the busiest decode engine of the fault fleet stalls its streams
    Then every stream of the fault fleet is complete and correct
    And the fault fleet has free engine memory and no abandoned stream

  Scenario: a daemon receives SIGTERM with streams in progress
    Guards against a planned stop that interrupts requests (invariant 7).

    When the fault fleet has 6 streams through daemons 3
    And daemon 3 of the fault fleet receives SIGTERM
    Then daemon 3 of the fault fleet is running but not ready
    And the fault fleet completes 4 new streams through daemons 1 and 2
    And every stream of the fault fleet is complete and correct
    And daemon 3 of the fault fleet exits with status 0
    And the fault fleet has free engine memory and no abandoned stream
