@fault_fleet
Feature: A leaving runner gets no new work

  Scenario: a decode engine leaves by its text
    Guards against new work for a leaving runner (invariant 6) and against
    interruption of the streams that it still serves.

    When the fault fleet has 6 streams through daemons 1, 2 and 3
    And the busiest decode engine of the fault fleet is marked as leaving in its text
    And the fault fleet reports that engine as leaving
    Then the fault fleet completes 6 new streams through daemons 1, 2 and 3
    And the leaving engine of the fault fleet has received no new work
    And every stream of the fault fleet is complete and correct

  Scenario: a decode engine leaves by its load report
    Guards against new work for a leaving runner (invariant 6) and against
    interruption of the streams that it still serves.

    When the fault fleet has 6 streams through daemons 1, 2 and 3
    And the busiest decode engine of the fault fleet is marked as leaving in its load report
    And the fault fleet reports that engine as leaving
    Then the fault fleet completes 6 new streams through daemons 1, 2 and 3
    And the leaving engine of the fault fleet has received no new work
    And every stream of the fault fleet is complete and correct
    And the leaving engine of the fault fleet is not leaving after a restart
