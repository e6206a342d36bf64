@fault_fleet
Feature: Texts survive the loss of the configuration service

  Scenario: a daemon is restarted while the platform is down
    Guards against a daemon that cannot serve without the platform although
    its peers have the text (invariant 8).

    When the platform of the fault fleet is down
    And daemon 3 of the fault fleet is killed and restarted
    Then daemon 3 of the fault fleet has restored its text
    And the fault fleet completes 3 new streams through daemons 3
    When the platform of the fault fleet is up
    And the fault fleet gets a text with a new client account
    Then every daemon of the fault fleet accepts the new client account

  Scenario: an invalid text is published, then a valid one
    Guards against an invalid text that takes effect or that prevents a
    later valid text or a restarted daemon from working (invariant 8).

    When the fault fleet gets an invalid text
    Then every daemon of the fault fleet has kept its text
    And the fault fleet completes 3 new streams through daemons 1, 2 and 3
    When daemon 2 of the fault fleet is killed and restarted
    Then daemon 2 of the fault fleet has restored its text
    When the fault fleet gets a text with a new client account
    Then every daemon of the fault fleet accepts the new client account
