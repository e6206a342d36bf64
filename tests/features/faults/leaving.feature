@fault_fleet
Feature: A leaving runner gets nothing new

  Scenario: a decode engine leaves by its text
    Guards against new work for a runner that leaves (invariant 6) and
    against cutting the streams that it still has.

    When the fault fleet streams 6 answers through daemons 1, 2 and 3
    And the busiest decode engine of the fault fleet leaves by its text
    And the owner of the fault fleet has seen that it leaves
    Then the fault fleet answers 6 new streams through daemons 1, 2 and 3
    And the leaving engine of the fault fleet was asked for nothing new
    And every answer of the fault fleet is whole

  Scenario: a decode engine leaves by its load report
    Guards against new work for a runner that leaves (invariant 6) and
    against cutting the streams that it still has.

    When the fault fleet streams 6 answers through daemons 1, 2 and 3
    And the busiest decode engine of the fault fleet leaves by its load report
    And the owner of the fault fleet has seen that it leaves
    Then the fault fleet answers 6 new streams through daemons 1, 2 and 3
    And the leaving engine of the fault fleet was asked for nothing new
    And every answer of the fault fleet is whole
    And the leaving engine of the fault fleet can be replaced
