@fault_fleet
Feature: A keyed call runs at most once

  Executions are counted by the plain services themselves.

  Scenario: the same keys are sent to two daemons at the same time
    Guards against two executions of one certification (invariant 5) and
    against refusals that wrongly say not_run (invariant 4).

    When witnesses of the fault fleet vouch for keys
    And plain calls of the fault fleet take 30 times as long
    And the fault fleet sends 8 keys through daemons 1 and 2 at once
    Then no key of the fault fleet ran twice and no refusal is wrong
    And the fault fleet has run at least 1 of the keys

  Scenario: the entry daemon of running keys is killed
    Guards against a second execution after the daemon that began the first
    is gone with what it knew (invariants 4 and 5).

    When witnesses of the fault fleet vouch for keys
    And plain calls of the fault fleet take 100 times as long
    And the fault fleet sends 6 keys through daemons 1 at once
    And every key of the fault fleet is running
    And the fault fleet loses daemon 1
    And the fault fleet sends the same keys through daemons 2 and 3
    And daemon 1 is gone from the lists of the fault fleet
    And the fault fleet sends the same keys through daemons 2 and 3
    Then no key of the fault fleet ran twice and no refusal is wrong
    And the fault fleet has run at least 6 of the keys

  Scenario: a daemon is paused with keys and streams in progress
    Guards against a woken daemon that runs what others have refused or run
    or that does not serve again (invariants 3, 4 and 5).

    When witnesses of the fault fleet vouch for keys
    And plain calls of the fault fleet take 100 times as long
    And the fault fleet sends 6 keys through daemons 2 at once
    And every key of the fault fleet is running
    And the fault fleet streams 4 answers through daemons 2
    And daemon 2 of the fault fleet is paused
    And the fault fleet sends the same keys through daemons 1 and 3
    And daemon 2 of the fault fleet is woken after 5 s
    And the fault fleet sends the same keys through daemons 1, 2 and 3
    Then no key of the fault fleet ran twice and no refusal is wrong
    And every answer of the fault fleet is whole
    And the fault fleet answers 3 new streams through daemons 2
    And a new key of the fault fleet runs once through daemon 2
