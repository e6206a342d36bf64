Feature: Engine model under virtual time

  Scenario: Prefills run by priority and unused results count as waste
    Given a standin model of a prefill engine at 1000 tokens a second
    When the standin model gets prefills at time 0
      | id | tokens | priority |
      | a  | 1000   | 0        |
      | b  | 500    | 0        |
      | c  | 500    | 1        |
    Then the standin model finishes prefills a at 1.0, c at 1.5, b at 2.0
    And at time 2.5 the standin model has evicted 2 results with 1500 tokens
    And at time 3.0 the standin model has evicted 3 results with 2000 tokens

  Scenario: A cached prefix is not recomputed, and its event is published late
    Given a standin model of a prefill engine at 1000 tokens a second
    When the standin model gets prefills at time 0
      | id | tokens | priority | blocks |
      | a  | 1000   | 0        | 1 2 3  |
      | b  | 1000   | 0        | 1 2 9  |
    Then the standin model finishes prefills a at 1.0, b at 1.488
    And at time 1.2 the standin cache events from 0 are stored nothing
    And at time 1.4 the standin cache events from 0 are stored 1 2 3
    And at time 1.8 the standin cache events from 3 are stored 9

  Scenario: A load report lags behind the state of the engine
    Given a standin model of a prefill engine at 1000 tokens a second
    When the standin model gets prefills at time 0.6
      | id | tokens | priority |
      | a  | 1000   | 0        |
    Then at time 0.7 the standin load report shows 0 busy
    And at time 0.9 the standin load report shows 0 busy
    And at time 1.1 the standin load report shows 1 busy
    And at time 1.9 the standin load report shows 1 busy
    And at time 2.2 the standin load report shows 0 busy

  Scenario Outline: An old fencing token: <checks>, <fencing>
    Given a standin model that checks fencing: <checks>
    When the standin model has faults {"fencing": "<fencing>"}
    Then standin orders with tokens 5, 4, 6 are <answers>

    Examples:
      | checks | fencing    | answers           |
      | yes    | configured | ok, old_token, ok |
      | no     | configured | ok, ok, ok        |
      | yes    | ignore     | ok, ok, ok        |
      | no     | refuse     | old_token, old_token, old_token |
