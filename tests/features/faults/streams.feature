@fault_fleet
Feature: Streams survive the loss of processes

  One fleet of 3 daemons, 2 prefill and 2 decode engines. Answers are compared
  token by token with what the engines generate.

  Scenario: a decode engine is killed in mid-stream
    Guards against answers that are cut, or that repeat the tokens which the
    caller already has (invariants 2 and 3).

    When the fault fleet streams 6 answers through daemons 1, 2 and 3
    And the fault fleet loses the busiest decode engine
    Then every answer of the fault fleet is whole
    And the fault fleet holds no engine memory and no engine ended a stream

  Scenario: an entry daemon is killed with streams in progress
    Guards against engine memory that stays allocated for callers of a dead
    daemon (invariant 1). The target is 5 s after the platform shows the
    loss; the poll limit of 15 s adds the lag of the list and a margin.

    When the fault fleet streams 6 endless answers through daemons 1
    And the fault fleet loses daemon 1
    Then the fault fleet answers 4 new streams through daemons 2 and 3
    And the fault fleet holds no engine memory and no engine ended a stream

  Scenario: callers leave in mid-stream
    Guards against engine memory that stays allocated for a caller that has
    disconnected (invariant 1).

    When the fault fleet streams 6 endless answers through daemons 1, 2 and 3
    And all callers of the fault fleet leave
    Then the fault fleet holds no engine memory and no engine ended a stream
    And the fault fleet answers 3 new streams through daemons 1, 2 and 3

  Scenario: open streams of a decode engine go silent
    Guards against callers that wait for a connection on which nothing comes
    any more (invariant 3).

    When the fault fleet streams 6 answers through daemons 1, 2 and 3
    And the busiest decode engine of the fault fleet goes silent
    Then every answer of the fault fleet is whole
    And the fault fleet holds no engine memory and no engine ended a stream

  Scenario: a daemon is told to stop with streams in progress
    Guards against a planned stop that interrupts requests (invariant 7).

    When the fault fleet streams 6 answers through daemons 3
    And daemon 3 of the fault fleet is told to stop
    Then daemon 3 of the fault fleet is not ready but alive
    And the fault fleet answers 4 new streams through daemons 1 and 2
    And every answer of the fault fleet is whole
    And daemon 3 of the fault fleet ends with status 0
    And the fault fleet holds no engine memory and no engine ended a stream
