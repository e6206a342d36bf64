Feature: Completion requests survive failures of owners, engines and links

  Scenario: the owner of the group does not answer
    Guards against requests that wait for an owner that is gone.

    Given entry: an owner that is silent
    When entry: a request for 5 tokens, then 2 seconds
    Then entry: the caller has 5 tokens and the end "finish"
    And entry: counter "retry.owner_silent" is 1

  Scenario: the owner's grant comes after the direct placement
    Guards against places that stay taken for an attempt that is over.

    Given entry: an owner that is silent
    When entry: a request for 50 tokens, then 0.5 seconds
    Then entry: the owner was sent "released" 1 times
    When entry: the first grant request is granted late
    Then entry: the owner was sent "released" 2 times
    And entry: StartPrefill was emitted 1 times

  Scenario: a request waits for a busy owner until its deadline
    Guards against direct placement on a group that is only full.

    Given entry: an owner that is queue
    When entry: a request for 5 tokens, then 29 seconds
    Then entry: StartPrefill was emitted 0 times
    When entry: 2 seconds pass
    Then entry: the caller has 0 tokens and the end "refuse deadline"
    And entry: the refusal says "not_run"

  Scenario: the owner is lost while a request is in its queue
    Guards against a request that waits for a queue that is gone.

    Given entry: an owner that is queue
    When entry: a request for 5 tokens, then 3 seconds
    Then entry: StartPrefill was emitted 0 times
    When entry: the last grant request does not reach the owner
    And entry: 2 seconds pass
    Then entry: the caller has 5 tokens and the end "finish"
    And entry: counter "retry.owner_silent" is 1

  Scenario: a release does not reach the owner
    Guards against a place that stays taken until its lease ends.

    Given entry: an owner that is grant
    When entry: a request for 5 tokens, then 2 seconds
    Then entry: the owner was sent "released" 1 times
    When entry: the last report does not reach the owner
    And entry: 10 seconds pass
    Then entry: the owner was sent "released" 2 times
    When entry: the last report does not reach the owner
    And entry: 10 seconds pass
    Then entry: the owner was sent "released" 3 times

  Scenario: a full engine does not cost a prefill
    Guards against a prefill thrown away because its decode place was taken.

    Given entry: an owner that is grant
    When entry: engines d1,d2,d3 are full
    And entry: a request for 5 tokens, then 0.104 seconds
    And entry: engines d1,d2,d3 are usable
    And entry: 2 seconds pass
    Then entry: the caller has 5 tokens and the end "finish"
    And entry: StartPrefill was emitted 1 times
    And entry: counter "retry.engine_full" is 1

  Scenario: a decode runner crashes in mid-stream
    Guards against lost or duplicated tokens when a stream moves.

    Given entry: an owner that is grant
    When entry: a request for 20 tokens, then 0.5 seconds
    And entry: the stream's engine crashes
    And entry: 5 seconds pass
    Then entry: the caller has 20 tokens and the end "finish"
    And entry: StartPrefill was emitted 2 times
    And entry: no engine holds anything

  Scenario: a connection goes silent while the engine decodes on
    Guards against a new prefill where a new connection is enough.

    Given entry: an owner that is grant
    When entry: a request for 60 tokens, then 0.5 seconds
    And entry: the stream's connection goes silent
    And entry: 5 seconds pass
    Then entry: the caller has 60 tokens and the end "finish"
    And entry: StartPrefill was emitted 1 times
    And entry: counter "retry.stream_silent" is 1

  Scenario: a prefill does not answer
    Guards against a request that waits forever for a stalled engine.

    Given entry: an owner that is grant
    When entry: answers of engines are lost
    And entry: a request for 5 tokens, then 1 seconds
    And entry: answers of engines arrive
    And entry: 5 seconds pass
    Then entry: the caller has 5 tokens and the end "finish"
    And entry: counter "retry.prefill_failed" is 1
    And entry: no engine holds anything

  Scenario: a cancel overtakes the prefill that it cancels
    Guards against engine memory kept for a caller that has left.

    Given entry: an owner that is grant
    When entry: a request for 5 tokens, then 0.05 seconds
    And entry: the caller leaves
    And entry: 1 seconds pass
    Then entry: CancelUpstream was emitted 1 times
    When entry: the cancelled prefill answers
    Then entry: CancelUpstream was emitted 2 times

  Scenario: the first cancels are lost
    Guards against engine memory kept because one call was lost.

    Given entry: an owner that is grant
    When entry: a request for 90 tokens, then 0.5 seconds
    And entry: answers of engines are lost
    And entry: the caller leaves
    And entry: 0.5 seconds pass
    And entry: answers of engines arrive
    And entry: 1 seconds pass
    Then entry: no engine holds anything

  Scenario: tokens of an old attempt arrive late
    Guards against a caller that gets text of two attempts.

    Given entry: an owner that is grant
    When entry: a request for 20 tokens, then 0.5 seconds
    And entry: other tokens of an old attempt arrive
    And entry: 5 seconds pass
    Then entry: the caller has 20 tokens and the end "finish"

  Scenario: a paused stream is not taken for a silent one
    Guards against a paused stream that is reattached or moved.

    Given entry: an owner that is grant
    When entry: a request for 20 tokens, then 0.5 seconds
    And entry: the owner sends PauseStream
    And entry: 8 seconds pass
    Then entry: the owner was sent "paused" 1 times
    And entry: ReattachStream was emitted 0 times
    When entry: the owner sends ResumeStream
    And entry: 3 seconds pass
    Then entry: the owner was sent "resumed" 1 times
    And entry: the caller has 20 tokens and the end "finish"

  Scenario: a draining daemon ends its requests first
    Guards against a graceful stop that interrupts a request.

    Given entry: an owner that is grant
    When entry: a request for 20 tokens, then 0.5 seconds
    And entry: the daemon drains
    Then entry: DrainFinished was emitted 0 times
    When entry: 5 seconds pass
    Then entry: the caller has 20 tokens and the end "finish"
    And entry: DrainFinished was emitted 1 times

  Scenario: an owner queries which engine request ids are needed
    Guards against an owner that cancels a running stream or keeps an old id.

    Given entry: an owner that is grant
    When entry: a request for 20 tokens, then 0.5 seconds
    Then entry: of the stream's id, an old id and a foreign id the old one is unneeded

  Scenario: an engine does not stop at the limit of tokens
    Guards against memory that grows for a caller that reads slowly.

    Given entry: an owner that is present
    When entry: a request for 50 tokens, then 0.5 seconds
    And entry: the engine sends all tokens and 9 more
    And entry: 1 seconds pass
    Then entry: the caller has 50 tokens and the end "finish"
    And entry: counter "stream.overrun" is 1
    And entry: no engine holds anything
