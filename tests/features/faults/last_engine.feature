@fault_fleet
Feature: Faults of the only decode engine that accepts work

  Scenario: a stream of the last decode engine is garbled
    Guards against a lost request when the only engine left is the one
    that failed it once and still serves (invariant 3).

    When the fault fleet has 2 streams through daemons 1 and 2
    And the busiest decode engine of the fault fleet is marked as leaving in its text
    And the fault fleet reports that engine as leaving
    Then every stream of the fault fleet is complete and correct
    When the fault fleet has 4 long streams through daemons 1 and 2
    And the last decode engine of the fault fleet has the fault garble
    Then every stream of the fault fleet is complete and correct
    And the fault garble of the fault fleet has occurred
