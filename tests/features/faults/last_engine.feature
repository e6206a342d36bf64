@fault_fleet
Feature: Faults of the only decode engine that takes work

  Scenario: a stream of the last decode engine is garbled
    Guards against a request that is lost although the engine that failed it
    once still serves (invariant 3).

    When the fault fleet streams 2 answers through daemons 1 and 2
    And the busiest decode engine of the fault fleet leaves by its text
    And the owner of the fault fleet has seen that it leaves
    Then every answer of the fault fleet is whole
    When the fault fleet streams 4 long answers through daemons 1 and 2
    And the last decode engine of the fault fleet has the fault garble
    Then every answer of the fault fleet is whole
    And the fault garble of the fault fleet has struck
