Feature: Stand-ins for engines, plain services and the platform

  Scenario: An answer over HTTP is complete and its memory is freed
    Given standin processes engine:prefill, engine:decode
    When the standin engines answer "a prompt [stop=12]" with at most 40 tokens
    Then the standin answer is whole and ends with "stop"
    And the standin counters of prefill show prefills_started=1, pieces_held=0, wasted_tokens=0
    And the standin counters of decode show decode_tokens=12, pieces_held=0, refused_full=0
    And the standin processes end with status 0

  # Guards against an injected fault that has no effect at the client, so that
  # a test that relies on it would prove nothing.
  Scenario: Each fault of a decode engine is visible to its client
    Given standin processes engine:prefill, engine:decode
    Then the standin faults on decode show as
      | faults               | result        | then              |
      | {"garble": 1}        | unreadable    | {}                |
      | {"wrong_id": 1}      | other request | {}                |
      | {"end_early": 1}     | incomplete    | {}                |
      | {"full": true}       | status 503    | {"full": false}   |
      | {"leaving": true}    | status 503    | {"leaving": false}|
      | {"endless_headers":1}| ProtocolError | {}                |
      | {"endless_body": 1}  | unreadable    | {}                |
      | {"slow": 1.0}        | whole         | {}                |
      | {"crash_s": 0}       | whole         | {}                |
      | {"crash_s": 60}      | ProtocolError | {}                |

  Scenario: A silent stream continues over a new connection
    Given standin processes engine:prefill, engine:decode
    When the standin engines start "a long prompt" with at most 60 tokens
    And the standin stream goes silent after its first token
    And the standin stream is read again from where it stopped
    Then the standin answer is whole and ends with "length"

  Scenario: A paused stream continues, and a dropped cancel frees nothing
    Given standin processes engine:prefill, engine:decode
    And the standin faults {"slow": 50} on decode
    When the standin engines start "a third prompt" with at most 60 tokens
    And the standin stream is paused
    Then the standin counters of decode show pieces_held=0, requests_held=1
    When the standin stream is resumed
    Then the standin counters of decode show pieces_held=1, requests_held=1
    When the standin stream is cancelled while cancels are dropped
    Then the standin counters of decode show cancels_dropped=1, requests_held=1
    When the standin stream is cancelled
    Then the standin counters of decode show pieces_held=0, requests_held=0

  Scenario: A plain service counts its executions
    Given standin processes plain
    Then the standin faults on plain show as
      | faults             | result   | runs |
      | {}                 | answered | 1    |
      | {"fail_before": 1} | broken   | 0    |
      | {"drop_answer": 1} | broken   | 1    |
      | {"full": true}     | refused  | 0    |

  Scenario: The platform serves revisions and the live instances
    Given standin processes platform
    And a standin daemon "entry-1" that reports itself alive
    When the standin configuration is set to "{}" and then to "{/**/}"
    Then the standin configuration after 0 is revision 2 with "{/**/}"
    And the standin configuration after 2 is not there
    When the standin platform has faults {"stale_revision": 1}
    Then the standin configuration after 0 is revision 1 with "{}"
    And the standin instance list shows entry-1 with incarnation 7
    When the standin daemon stops
    Then the standin instance list becomes empty
