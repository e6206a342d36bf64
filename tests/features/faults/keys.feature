@fault_fleet
Feature: A call with an idempotency key runs at most once

  The plain services count the executions.

  Scenario: the same keys are sent to two daemons at the same time
    Guards against two executions of one call (invariant 5) and against
    refusals that wrongly report not_run (invariant 4).

    When witnesses of the fault fleet accept new keys
    And plain calls of the fault fleet take 30 times as long
    And the fault fleet sends 8 keys through daemons 1 and 2 at once
    Then no key of the fault fleet ran twice or got a false response
    And the fault fleet has executed at least 1 of the keys

  Scenario: the entry daemon of keys in progress is killed
    Guards against a second execution after the daemon that started the
    first is killed and its state is lost (invariants 4 and 5).

    When witnesses of the fault fleet accept new keys
    And plain calls of the fault fleet take 100 times as long
    And the fault fleet sends 6 keys through daemons 1 at once
    And every key of the fault fleet is running
    And daemon 1 of the fault fleet is killed
    And the fault fleet sends the same keys through daemons 2 and 3
    And daemon 1 is in no instance list of the fault fleet
    And the fault fleet sends the same keys through daemons 2 and 3
    Then no key of the fault fleet ran twice or got a false response
    And the fault fleet has executed at least 6 of the keys

  Scenario: a daemon is paused with keys and streams in progress
    Guards against a resumed daemon that runs calls which others have
    refused or run, or that stops serving (invariants 3, 4 and 5).

    When witnesses of the fault fleet accept new keys
    And plain calls of the fault fleet take 100 times as long
    And the fault fleet sends 6 keys through daemons 2 at once
    And every key of the fault fleet is running
    And the fault fleet has 4 streams through daemons 2
    And daemon 2 of the fault fleet is paused
    And the fault fleet sends the same keys through daemons 1 and 3
    And daemon 2 of the fault fleet is resumed after 5 s
    And the fault fleet sends the same keys through daemons 1, 2 and 3
    Then no key of the fault fleet ran twice or got a false response
    And every stream of the fault fleet is complete and correct
    And the fault fleet completes 3 new streams through daemons 2
    And a new key of the fault fleet is executed once through daemon 2
