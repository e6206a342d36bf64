@fault_fleet
Feature: A fault in an engine's stream fails one attempt only

  Scenario Outline: a stream of a decode engine has the fault <fault>
    Guards against callers that receive corrupt data, another caller's
    tokens or a truncated answer (invariant 3).

    When the fault fleet has 6 streams through daemons 1, 2 and 3
    And the busiest decode engine of the fault fleet has the fault <fault>
    Then every stream of the fault fleet is complete and correct
    And the fault <fault> of the fault fleet has occurred
    And the fault fleet has free engine memory and no abandoned stream

    Examples:
      | fault     |
      | garble    |
      | wrong_id  |
      | end_early |
