Feature: Calls to plain services

  Background:
    Given a plain daemon with runners office-1, office-2

  Scenario Outline: a call that cannot run is refused at once
    Guards against work for calls that the text doesn't cover, and against
    not_run for a key that another daemon may have run.

    When the plain caller sends <method> <path> with key <key>
    Then the plain caller is refused with <reason> and <ran>

    Examples:
      | method | path                  | key   | reason                   | ran     |
      | PUT    | /strikes              | none  | unknown_call             | not_run |
      | PUT    | /strikes              | fresh | unknown_call             | unknown |
      | POST   | /strikes-archive      | none  | unknown_call             | not_run |
      | POST   | /search/../strikes    | none  | unknown_call             | not_run |
      | POST   | /search/%2e%2e/fees   | none  | unknown_call             | not_run |
      | POST   | /search/..%2fstrikes  | none  | unknown_call             | not_run |
      | POST   | /strikes              | none  | idempotency_key_required | not_run |
      | POST   | /strikes/7            | v4    | idempotency_key_invalid  | not_run |
      | POST   | /strikes              | old   | idempotency_key_too_old  | unknown |
      | POST   | /strikes              | ahead | idempotency_key_in_future | unknown |

  Scenario Outline: a failed call is retried only if a second run is safe
    Guards against a second execution and against a needless refusal.

    When the plain caller sends <method> <path> with key <key>
    And the plain runner fails with <error> and <ran>
    Then the plain call stands at <attempts> attempts on different runners
    And the plain caller is refused with <reason> and <refused_ran>

    Examples:
      | method | path     | key   | error   | ran     | attempts | reason           | refused_ran |
      | GET    | /strikes | none  | broken  | unknown | 2        | nothing          | nothing     |
      | GET    | /strikes | none  | connect | not_run | 2        | nothing          | nothing     |
      | POST   | /strikes | fresh | connect | not_run | 2        | nothing          | nothing     |
      | POST   | /strikes | fresh | broken  | unknown | 1        | upstream_failed  | unknown     |
      | POST   | /strikes | fresh | timeout | unknown | 1        | upstream_timeout | unknown     |

  Scenario: the retry budget stops repeated failures
    Guards against unbounded retries.

    When the plain caller sends 31 reads that each fail to connect
    Then the plain caller is refused with retry_budget and not_run

  Scenario: calls beyond the places wait, and are refused beyond the queue
    Guards against overloaded services and unbounded queues.

    When the plain caller sends 7 times GET /strikes
    Then 4 plain calls are at runners, none with more than 2
    And the plain caller is refused with queue_full and not_run
    When the plain caller waits 4 seconds
    Then the plain caller is refused with deadline and not_run

  Scenario: a queued call with a key that is refused may be sent again
    Guards against a claim that outlives a call that was never sent.

    When the plain caller sends 4 times GET /strikes
    And the plain caller sends POST /strikes with key fresh
    And the plain caller waits 2 seconds
    And the plain caller leaves
    And the plain runner answers 200 "read"
    And the plain caller sends POST /strikes with key again
    Then the last plain call is at a runner

  Scenario: the outcome of a call whose caller left is replayed
    Guards against a lost outcome that makes the caller run the call twice.

    When the plain caller sends POST /strikes with key fresh
    And the plain caller leaves
    And the plain runner answers 503 "strike 7"
    And the plain caller sends POST /strikes with key again
    Then the plain caller gets 503 "strike 7" as a replay

  Scenario: a call that may have run keeps its key after the caller left
    Guards against a key that is freed although its call may have run.

    When the plain caller sends POST /strikes with key fresh
    And the plain caller leaves
    And the plain runner fails with broken and unknown
    And the plain caller sends POST /strikes with key again
    Then the plain caller is refused with idempotency_key_in_use and unknown

  Scenario: a large outcome is not replayed
    Guards against the replay of a truncated answer.

    When the plain caller sends POST /strikes with key fresh
    And the plain runner answers 200 with 5000 bytes
    And the plain caller sends POST /strikes with key again
    Then the plain caller is refused with idempotency_key_in_use and unknown

  Scenario: a key that was used for another call is refused
    Guards against an answer to a call that the caller didn't make.

    When the plain caller sends POST /strikes with key fresh
    And the plain caller sends POST /strikes/8 with key again
    Then the plain caller is refused with idempotency_key_mismatch and unknown

  Scenario: a slow read is hedged once
    Guards against tail latency from one straggler.

    When the plain caller has seen 30 reads of 0.1 seconds
    And the plain caller sends GET /strikes with key none
    And the plain caller waits 1 seconds
    Then the plain call stands at 2 attempts on different runners

  Scenario: a drain ends after the last plain call
    Guards against a stop that interrupts a call in progress.

    When the plain caller sends POST /strikes with key fresh
    And the plain daemon drains
    Then the plain drain is not finished
    When the plain runner answers 200 "done"
    Then the plain drain is finished
