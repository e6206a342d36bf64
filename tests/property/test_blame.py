"""Causes under which runners crash are found and refused."""

import itertools
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from primrosereel import _ids as ids
from primrosereel.routing import blame
from primrosereel.routing.blame import _evidence as evidence_module
from primrosereel.routing.blame import _quarantine as quarantine_module

SYSTEM, DEAD, OTHER, RARE = [
    blame.part_cause(ids.PromptPartId(part))
    for part in ('system', 'dead', 'other', 'rare')
]
# Requests were sent before any crash unless a test says otherwise.
SENT_AT = -1.0
# The time between crashes, longer than what counts as one cause.
STEP_S = 1.0
MAX_FACTOR = 1 + quarantine_module.DURATION_JITTER
DURATION_LIMIT_S = quarantine_module.QUARANTINE_S * MAX_FACTOR
FIRST_LIMIT_S = quarantine_module.FIRST_QUARANTINE_S * MAX_FACTOR


def crash(number):
    return blame.Crash(ids.RunnerId(f'r{number}'), number)


def make_quarantine(seed=1):
    return blame.Quarantine(random.Random(seed))


def crash_under(quarantine, crashes, *parts):
    """Record crashes STEP_S apart; return the time of the last one."""
    for number in range(crashes):
        quarantine.observe_crash(
            parts, crash(number), SENT_AT, number * STEP_S
        )
    return (crashes - 1) * STEP_S


def test_part_of_two_crashed_requests_is_refused():
    """Guards against requests that are sent to runner after runner."""
    quarantine = make_quarantine()
    now = crash_under(quarantine, 1, SYSTEM, DEAD)
    assert quarantine.blocking_cause([SYSTEM, DEAD], now) is None
    now = crash_under(quarantine, 2, SYSTEM, DEAD)
    assert quarantine.blocking_cause([SYSTEM, DEAD], now) is not None
    first_s = quarantine_module.FIRST_QUARANTINE_S
    assert first_s <= quarantine.remaining_s(DEAD, now) <= FIRST_LIMIT_S
    quarantine.observe_crash([SYSTEM, DEAD], crash(3), SENT_AT, now + STEP_S)
    long_s = 2 * quarantine_module.QUARANTINE_S
    assert quarantine.remaining_s(DEAD, now + STEP_S) >= long_s


def test_part_that_sound_requests_share_does_not_block_them():
    """Guards against a caller that loses all service with one bad prompt.

    The system prompt was in each crash, and no answer to it is known.
    """
    quarantine = make_quarantine()
    now = crash_under(quarantine, 3, SYSTEM, DEAD)
    assert quarantine.blocking_cause([SYSTEM], now) is None
    assert quarantine.blocking_cause([SYSTEM, OTHER], now) is None
    quarantine.observe_answer([SYSTEM, OTHER], now)
    assert quarantine.quarantined(now) == {DEAD}
    assert quarantine.blocking_cause([DEAD, OTHER], now) == DEAD


def test_part_that_crashes_without_the_other_suspect_is_refused():
    """Guards against a deadly part that hides behind a harmless one.

    All crashes had both parts at first, and the harmless one could be the
    cause; a crash without it tells them apart.
    """
    quarantine = make_quarantine()
    now = crash_under(quarantine, 2, SYSTEM, DEAD)
    assert quarantine.blocking_cause([DEAD, OTHER], now) is None
    for number in range(8, 8 + evidence_module.MIN_CRASHES):
        now += STEP_S
        quarantine.observe_crash([DEAD, OTHER], crash(number), SENT_AT, now)
    assert quarantine.blocking_cause([DEAD, OTHER], now) is not None
    assert quarantine.blocking_cause([DEAD, RARE], now) == DEAD


def test_crash_of_another_cause_does_not_block_a_shared_part():
    """Guards against sound requests that are refused after a bystander.

    A sound request waited at a runner that crashed for another reason, so the
    shared part has a crash that the deadly part cannot explain.
    """
    quarantine = make_quarantine()
    now = crash_under(quarantine, 2, SYSTEM, DEAD) + STEP_S
    quarantine.observe_crash([SYSTEM], crash(9), SENT_AT, now)
    assert quarantine.blocking_cause([SYSTEM, OTHER], now) is None
    assert quarantine.blocking_cause([SYSTEM, DEAD], now) is not None


def test_instance_that_missed_an_answer_is_told_when_it_reports_crashes():
    """Guards against an instance that refuses a part which others serve.

    It was cut off when the part was answered, long ago.
    """
    cut_off, other = make_quarantine(1), make_quarantine(2)
    crashed_at = crash_under(cut_off, 2, SYSTEM)
    other.merge(cut_off.evidence(crashed_at), crashed_at)
    other.observe_answer([SYSTEM], crashed_at + STEP_S)
    now = crashed_at + 5 * quarantine_module.PROOF_REPORTED_S
    assert other.evidence(now) == []
    other.merge(cut_off.evidence(now), now)
    cut_off.merge(other.evidence(now), now)
    assert cut_off.blocking_cause([SYSTEM], now) is None


def test_answers_between_crashes_clear_a_part():
    """Guards against a common part that is blamed as a bystander.

    Runners crash for another reason, and each time a request with the common
    part was waiting there.
    """
    quarantine = make_quarantine()
    for number in range(20):
        now = number * STEP_S
        quarantine.observe_crash([SYSTEM], crash(number), SENT_AT, now)
        assert quarantine.blocking_cause([SYSTEM], now) is None
        quarantine.observe_answer([SYSTEM], now + STEP_S / 2)


def test_answered_part_is_refused_after_more_crashes():
    """Guards against an answered part that is never found to be deadly."""
    quarantine = make_quarantine()
    quarantine.observe_answer([SYSTEM], -1.0)
    crashes = evidence_module.MIN_CRASHES_IF_PROVEN[DEAD.kind]
    now = crash_under(quarantine, crashes - 1, SYSTEM)
    assert quarantine.blocking_cause([SYSTEM], now) is None
    now = crash_under(quarantine, crashes, SYSTEM)
    assert quarantine.blocking_cause([SYSTEM], now) == SYSTEM


@pytest.mark.parametrize('runners', [2, 5, 40])
def test_loss_of_several_runners_at_once_blames_no_part(runners):
    """Guards against a power failure that is taken for a deadly prompt.

    Requests with the common part waited at all lost runners.
    """
    quarantine = make_quarantine()
    for number in range(runners):
        quarantine.observe_crash(
            [SYSTEM], crash(number), SENT_AT, number * 0.001
        )
    assert quarantine.blocking_cause([SYSTEM], 1.0) is None


def test_one_crash_that_several_instances_report_counts_once():
    """Guards against a part that is refused after a single crash."""
    quarantine = make_quarantine()
    for number in range(5):
        quarantine.merge(
            [
                blame.Evidence(
                    DEAD,
                    {crash(1): blame.Observation(number * STEP_S)},
                    -float('inf'),
                )
            ],
            number * STEP_S,
        )
    assert quarantine.blocking_cause([DEAD], 5 * STEP_S) is None


def test_quarantine_ends_and_one_more_crash_renews_it_for_longer():
    """Guards against a part that is refused for ever, or tried too often."""
    quarantine = make_quarantine()
    last_at = crash_under(quarantine, 2, DEAD)
    first_s = quarantine.remaining_s(DEAD, last_at)
    assert first_s <= FIRST_LIMIT_S
    # The evidence outlasts the quarantine by far.
    now = last_at + quarantine_module.QUARANTINE_S
    assert quarantine.blocking_cause([DEAD], now) is None
    quarantine.evidence(now)
    quarantine.observe_crash([DEAD], crash(7), SENT_AT, now)
    assert quarantine.blocking_cause([DEAD], now) == DEAD
    second_s = quarantine.remaining_s(DEAD, now)
    assert second_s >= 2 * quarantine_module.QUARANTINE_S
    quarantine.observe_crash([DEAD], crash(8), SENT_AT, now + STEP_S)
    third_s = quarantine.remaining_s(DEAD, now + STEP_S)
    assert third_s == pytest.approx(2 * second_s)
    later = now + 100 * DURATION_LIMIT_S
    quarantine.evidence(later)
    assert quarantine.crash_count(DEAD) == 0


def test_a_new_instance_learns_the_quarantine_and_its_end():
    """Guards against a restart that sends a deadly prompt to runners again."""
    first, second = make_quarantine(1), make_quarantine(2)
    now = crash_under(first, 2, SYSTEM, DEAD)
    first.observe_answer([SYSTEM], now + STEP_S)
    second.merge(first.evidence(now + STEP_S), now + STEP_S)
    assert second.blocking_cause([SYSTEM, DEAD], now + STEP_S) == DEAD
    second.observe_answer([DEAD], now + 2 * STEP_S)
    first.merge(second.evidence(now + 2 * STEP_S), now + 2 * STEP_S)
    assert first.quarantined(now + 2 * STEP_S) == set()
    # What another instance still believes does not bring it back.
    third = make_quarantine(3)
    crash_under(third, 2, SYSTEM, DEAD)
    first.merge(third.evidence(now + 3 * STEP_S), now + 3 * STEP_S)
    assert first.quarantined(now + 3 * STEP_S) == set()


EVENTS = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.sampled_from(['crash', 'answer']),
        st.sets(st.sampled_from([SYSTEM, DEAD, OTHER, RARE]), min_size=1),
    ),
    max_size=25,
)


@given(EVENTS)
def test_instances_agree_whatever_order_evidence_arrives_in(observed):
    """Guards against instances that disagree on what is quarantined."""
    instances = [make_quarantine(1) for _ in range(3)]
    for number, (instance, kind, parts) in enumerate(observed):
        if kind == 'crash':
            instances[instance].observe_crash(
                parts, crash(number), SENT_AT, number
            )
        else:
            instances[instance].observe_answer(parts, number)
    now = float(len(observed))
    reports = [instance.evidence(now) for instance in instances]
    for permutation, target in zip(
        itertools.permutations(reports), instances, strict=False
    ):
        for report in permutation:
            target.merge(report, now)
    # Proof that only one instance has is passed on with its next report.
    for source, target in itertools.permutations(instances, 2):
        target.merge(source.evidence(now), now)
    assert len({frozenset(i.quarantined(now)) for i in instances}) == 1


@settings(max_examples=10)
@given(st.integers(0, 2000))
def test_evidence_is_bounded(seed):
    """Guards against memory and datagrams that grow with the prompts."""
    source = random.Random(seed)
    quarantine = make_quarantine()
    for number in range(3 * quarantine_module.MAX_SUSPECTS // 100):
        parts = [
            blame.part_cause(ids.PromptPartId(str(source.random())))
            for _ in range(64)
        ]
        quarantine.observe_crash(
            parts, crash(number), SENT_AT, number * STEP_S
        )
        quarantine.observe_crash(
            [DEAD], crash(-number), SENT_AT, number * STEP_S
        )
    now = number * STEP_S
    assert len(quarantine._suspects) <= quarantine_module.MAX_SUSPECTS
    evidence = quarantine.evidence(now)
    assert len(evidence) <= quarantine_module.MAX_REPORTED_CAUSES
    assert evidence[0].cause == DEAD
    assert max(len(e.crashes) for e in evidence) <= (
        evidence_module.MAX_CRASHES_PER_CAUSE
    )


D, X, Y = [
    blame.Cause(blame.CauseKind.PLAIN_CALL, blame.request_key([name]))
    for name in (b'deadly', b'sound', b'other')
]


def test_retry_that_crashes_the_next_runner_at_once_is_a_second_crash():
    """Guards against a request that crashes three runners in 0.1 s.

    Its retry was sent once the first crash was known, so the crashes are not
    one loss of power.
    """
    quarantine = make_quarantine()
    quarantine.observe_crash([D], crash(1), 0.0, 0.01)
    assert quarantine.blocking_cause([D], 0.01) is None
    quarantine.observe_crash([D], crash(2), 0.011, 0.04)
    assert quarantine.blocking_cause([D], 0.04) == D


def test_instances_that_lose_a_request_at_once_blame_it_once():
    """Guards against a loss of power that is taken for two crashes.

    Each instance had sent the request before the first runner went.
    """
    first, second = make_quarantine(1), make_quarantine(2)
    first.observe_crash([D], crash(1), 0.0, 0.01)
    second.merge(first.evidence(0.02), 0.02)
    second.observe_crash([D], crash(2), 0.005, 0.03)
    assert second.blocking_cause([D], 0.03) is None


def test_bystanders_of_two_crashes_are_not_refused():
    """Guards against sound calls that are refused as they were in flight.

    They were retried beside the deadly one, and are the same to the evidence
    until one of them is answered or crashes a runner alone.
    """
    quarantine = make_quarantine()
    now = crash_under(quarantine, 2, D, X)
    assert quarantine.blocking_cause([X], now) is None
    quarantine.observe_crash([D], crash(9), now, now + STEP_S)
    assert quarantine.blocking_cause([D], now + STEP_S) == D
    assert quarantine.blocking_cause([X], now + STEP_S) is None


def test_bystander_is_not_refused_for_crashes_that_several_instances_saw():
    """Guards against a sound call that is blamed for the deadly one.

    Only the instance that retried the sound call knew that the second crash
    is independent of the first; the deadly one came to two instances.
    """
    first, second = make_quarantine(1), make_quarantine(2)
    first.observe_crash([X], crash(1), 0.0, 0.01)
    second.observe_crash([D], crash(1), 0.0, 0.01)
    first.observe_crash([X], crash(2), 0.02, 0.04)
    first.observe_crash([D], crash(2), 0.02, 0.04)
    first.merge(second.evidence(0.05), 0.05)
    assert first.blocking_cause([X], 0.05) is None


def test_new_crash_is_reported_beside_many_quarantined_causes():
    """Guards against a deadly call that each instance has to find by itself.

    The places of a datagram were all taken by causes with more crashes.
    """
    quarantine = make_quarantine()
    numbers = itertools.count()
    for name in range(quarantine_module.MAX_REPORTED_CAUSES):
        for _ in range(evidence_module.MIN_CRASHES):
            number = next(numbers)
            quarantine.observe_crash(
                [D._replace(key=str(name))], crash(number), SENT_AT, number
            )
    now = next(numbers)
    quarantine.observe_crash([X], crash(now), SENT_AT, now)
    reported = {evidence.cause for evidence in quarantine.evidence(now)}
    assert X in reported
    assert len(reported) == quarantine_module.MAX_REPORTED_CAUSES


def test_two_deadly_calls_at_the_same_crashes_are_refused():
    """Guards against deadly calls that hide behind each other.

    They come together each time, to a service with one runner at a time.
    """
    quarantine = make_quarantine()
    for number in range(evidence_module.MAX_SHARED_CRASHES + 1):
        now = number * STEP_S
        for cause in (D, X):
            quarantine.observe_crash([cause], crash(number), SENT_AT, now)
    assert quarantine.blocking_cause([D], now) == D
    assert quarantine.blocking_cause([X], now) == X


def test_lone_bystander_of_two_kills_is_refused_for_one_trial_only():
    """Guards against a sound call that is refused for minutes.

    Both runners that it was sent to were killed, one after the other, and no
    other call was there, so that it is the only suspect.
    """
    quarantine = make_quarantine()
    quarantine.observe_crash([X], crash(1), 0.0, 0.01)
    quarantine.observe_crash([X], crash(2), 0.011, 0.04)
    now = 0.04 + FIRST_LIMIT_S
    assert quarantine.blocking_cause([X], now) is None
    assert quarantine.observe_answer([X], now) == [X]


def test_answer_to_a_bystander_tells_it_from_the_deadly_call():
    """Guards against a deadly call that hides behind a sound one."""
    quarantine = make_quarantine()
    now = crash_under(quarantine, 2, D, X)
    assert quarantine.observe_answer([X], now + STEP_S) == [X]
    assert quarantine.blocking_cause([D], now + STEP_S) == D
    assert quarantine.blocking_cause([X], now + STEP_S) is None


def test_part_of_a_prompt_that_comes_again_does_not_block_others():
    """Guards against sound prompts that are refused for one that repeats.

    All crashes are due to one generation, whose shared part no other prompt
    with it was tried with yet.
    """
    generation = D._replace(kind=blame.CauseKind.GENERATION)
    quarantine = make_quarantine()
    now = crash_under(quarantine, 2, SYSTEM, generation)
    assert quarantine.blocking_cause([SYSTEM, generation], now) is not None
    sound = generation._replace(key=X.key)
    assert quarantine.blocking_cause([SYSTEM, sound], now) is None
    # A crash of another prompt with the part shows that the part is deadly.
    quarantine.observe_crash([SYSTEM, sound], crash(9), now, now + STEP_S)
    assert quarantine.blocking_cause([SYSTEM, Y], now + STEP_S) == SYSTEM


def test_answers_are_remembered_of_suspected_requests_only():
    """Guards against memory that grows with all requests served."""
    quarantine = make_quarantine()
    quarantine.observe_answer([D], 0.0)
    assert not quarantine.has_suspects
    assert not quarantine._answered_at


@given(
    st.lists(st.binary(max_size=5), max_size=4),
    st.lists(st.binary(max_size=5), max_size=4),
)
def test_different_requests_have_different_keys(one, other):
    """Guards against a caller that gets another one's request refused.

    It might move bytes from one field to the next.
    """
    assert (one == other) == (
        blame.request_key(one) == blame.request_key(other)
    )


def test_part_that_two_deadly_requests_share_does_not_block_others():
    """Guards against a service that refuses all requests after a restart.

    Two requests crash runners, each as a whole, before an answer to the
    system prompt that they share with all sound requests is known.
    """
    quarantine = make_quarantine()
    for number in range(evidence_module.MIN_CRASHES):
        now = number * STEP_S
        whole = blame.Cause(blame.CauseKind.GENERATION, f'whole-{number}')
        quarantine.observe_crash(
            [SYSTEM, whole], crash(number), now - STEP_S / 2, now
        )
    assert quarantine.blocking_cause([SYSTEM, OTHER], now) is None
