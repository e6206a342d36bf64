"""A witness and a requester of claims under reordered messages."""

import random
from unittest import mock

import pytest

from primrosereel import _states as states
from primrosereel.core import _claim_requester as claim_requester
from primrosereel.core import _claim_witness as claim_witness
from primrosereel.core import _core as core_module
from primrosereel.core import _messages as messages
from primrosereel.core import _tables as tables
from tests.property import claims_cluster

Answer = states.ClaimAnswer
EPOCH = claims_cluster.EPOCH


class Witness:
    """A witness that is the only instance of its region."""

    def __init__(self, warm_up_s=40.0, gap_s=2.0):
        self.identity = tables.Identity('n1', 1, 'r', 'z', 'h:1')
        self.core = core_module.Core(
            self.identity, random.Random(1), ('claims',)
        )
        self.now = 0.0
        self.revision = 0
        while self.now < warm_up_s:
            self.publish_list(gap_s)
        self.key = self.make_key()

    def make_key(self, number=1, age_s=0.0):
        """Return a key that was made some seconds ago."""
        made_at = EPOCH + self.now - age_s
        return claims_cluster.make_key(int(made_at * 1000), number)

    def publish_list(self, seconds):
        """Let time pass and publish a list with a new revision."""
        self.now += seconds
        self.revision += 1
        self.core.world.listing = tables.Listing(
            self.revision,
            EPOCH + self.now,
            {'n1': self.identity.listed()},
        )
        self.core.tick(self.now, EPOCH + self.now)

    def send(self, message):
        """Deliver a message from an entry; return the reply, if any."""
        effects = self.core.handle(
            messages.FromPeer('n2', 1, message), self.now, EPOCH + self.now
        )
        replies = [e for e in effects if isinstance(e, messages.SendPeer)]
        return replies[0].message if replies else None

    def claim(self, request_id, round=1, key=None):
        """Claim a key for a request; return the reply, if any."""
        return self.send(
            messages.ClaimRequest(
                key or self.key,
                'c',
                1,
                request_id,
                'r',
                (('n1', 1),),
                round,
            )
        )

    def withdraw(self, request_id, round=1):
        """Withdraw a request's claim."""
        self.send(messages.ClaimWithdrawn(self.key, 'c', request_id, round))


def test_delayed_withdrawal_keeps_later_round():
    """Guards against freeing a key whose call was sent.

    A withdrawal of an earlier round arrives after the later round's claim.
    """
    witness = Witness()
    witness.claim('a', round=1)
    witness.claim('a', round=2)
    witness.withdraw('a', round=1)
    assert witness.claim('b').answer is Answer.TAKEN


def test_withdrawal_of_another_request_keeps_claim():
    """Guards against a refused request that frees the holder's key."""
    witness = Witness()
    witness.claim('a')
    assert witness.claim('b').answer is Answer.TAKEN
    witness.withdraw('b')
    assert witness.claim('b').answer is Answer.TAKEN


@pytest.mark.parametrize('claimed_before', [True, False])
def test_claim_after_its_withdrawal_is_ignored(claimed_before):
    """Guards against a key held until it expires by a withdrawn request."""
    witness = Witness()
    if claimed_before:
        witness.claim('a')
    witness.withdraw('a')
    assert witness.claim('a') is None
    assert witness.claim('b').answer is Answer.CONSENT


def test_full_table_refuses_until_claims_expire():
    """Guards against an unbounded table, and against evicted claims."""
    witness = Witness()
    with mock.patch.object(claim_witness, 'MAX_CLAIMS', 2):
        keys = [witness.make_key(n) for n in range(3)]
        answers = [witness.claim('a', key=k).answer for k in keys]
        assert answers == [Answer.CONSENT, Answer.CONSENT, Answer.FULL]
        for _ in range(310):
            witness.publish_list(2.0)
        key = witness.make_key(9)
        assert witness.claim('a', key=key).answer is Answer.CONSENT


@pytest.mark.parametrize(
    'age_s, answer',
    [
        (599.0, Answer.ABSTAIN),
        (601.0, Answer.TOO_OLD),
        (-1.9, Answer.CONSENT),
        (-2.1, Answer.IN_FUTURE),
        # Listed from 2 s on, which covers keys made from 19 s on.
        (20.9, Answer.CONSENT),
        (21.1, Answer.ABSTAIN),
    ],
)
def test_answer_follows_age_of_key(age_s, answer):
    """Guards against consent for keys older than the known lists."""
    witness = Witness()
    key = witness.make_key(age_s=age_s)
    assert witness.claim('a', key=key).answer is answer


def test_claim_outlives_its_key():
    """Guards against a claim that expires while its key is accepted."""
    witness = Witness()
    witness.claim('a')
    for _ in range(299):
        witness.publish_list(2.0)
    assert witness.claim('b').answer is Answer.TAKEN
    witness.publish_list(2.5)
    assert witness.claim('b').answer in (Answer.TAKEN, Answer.TOO_OLD)
    witness.publish_list(2.5)
    assert witness.claim('b').answer in (Answer.TAKEN, Answer.TOO_OLD)


def test_gap_between_lists_ends_consent():
    """Guards against consent after lists that the witness did not receive."""
    witness = Witness()
    witness.publish_list(9.0)
    key = witness.make_key()
    assert witness.claim('a', key=key).answer is Answer.ABSTAIN


def test_stale_list_refuses():
    """Guards against answers based on an outdated instance list."""
    witness = Witness()
    witness.now += 9.9
    assert witness.claim('a').answer is Answer.CONSENT
    witness.now += 0.2
    assert witness.claim('a').answer is Answer.STALE


def test_paused_witness_refuses_until_next_list():
    """Guards against answers based on the list from before a pause."""
    witness = Witness()
    witness.now += 1.0
    witness.core.world.paused_at = witness.now
    assert witness.claim('a').answer is Answer.STALE
    witness.publish_list(1.0)
    assert witness.claim('a').answer is Answer.CONSENT


def test_witness_that_was_just_listed_refuses():
    """Guards against a witness that others may not have in their lists."""
    witness = Witness(warm_up_s=4.0)
    assert witness.claim('a').answer is Answer.STALE


def test_reply_to_earlier_round_is_ignored():
    """Guards against counting consent to a round that was withdrawn."""
    identity = tables.Identity('n1', 1, 'r', 'z', 'h:1')
    world = tables.World(identity, random.Random(1))
    call = claim_requester.ClaimedCall('k', 'c', 1, 'n1.1.1', 'r')
    round = claim_requester.ClaimRequester(world, call, 30.0)

    def reply(sender, number):
        answer = messages.ClaimReply(
            'k', 'c', 'n1.1.1', Answer.CONSENT, round=number
        )
        round.take_reply(sender, answer, 0.0)
        return round.advance(0.0)

    row = messages.ListedInstance('n2', 1, 'r', 'z', '')
    world.listing = tables.Listing(1, 0.0, {'n2': row})
    assert round.advance(0.0) is None
    other = messages.ListedInstance('n3', 1, 'r', 'z', '')
    world.listing = tables.Listing(2, 1.0, {'n2': row, 'n3': other})
    assert round.advance(0.0) is None
    assert reply(('n2', 1), 1) is None
    assert reply(('n3', 1), 2) is None
    assert reply(('n2', 2), 2) is None
    assert reply(('n2', 1), 2).decision is claim_requester.Decision.HELD
