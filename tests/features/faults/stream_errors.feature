@fault_fleet
Feature: Faults in an engine's streams cost one attempt

  Scenario Outline: a stream of a decode engine has the fault <fault>
    Guards against callers that receive garbage, another caller's tokens or
    a cut answer (invariant 3).

    When the fault fleet streams 6 answers through daemons 1, 2 and 3
    And the busiest decode engine of the fault fleet has the fault <fault>
    Then every answer of the fault fleet is whole
    And the fault <fault> of the fault fleet has struck
    And the fault fleet holds no engine memory and no engine ended a stream

    Examples:
      | fault     |
      | garble    |
      | wrong_id  |
      | end_early |
