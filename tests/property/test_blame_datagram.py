"""Evidence about crashes in datagrams of this and of other versions."""

import msgspec

from primrosereel import _ids as ids
from primrosereel.gateway import _peer_datagram as peer_datagram
from primrosereel.routing import blame
from tests import gateway_fleet

NOW = 1000.0
CALL = blame.Cause(blame.CauseKind.PLAIN_CALL, blame.request_key([b'call']))
ENCODER = msgspec.msgpack.Encoder()


def decode(suspect):
    """Return what a peer of this version decodes."""
    decoder = msgspec.msgpack.Decoder(peer_datagram.Suspect)
    return peer_datagram.decode_evidence(decoder.decode(suspect), NOW)


def test_evidence_arrives_as_it_was_sent():
    """Guards against peers that count the crashes differently."""
    crashes = {
        blame.Crash(ids.RunnerId('r1'), 1): blame.Observation(NOW - 2.0),
        blame.Crash(ids.RunnerId('r2'), 2): blame.Observation(NOW - 1.5, True),
    }
    evidence = blame.Evidence(CALL, crashes, NOW - 4.0)
    sent = ENCODER.encode(peer_datagram.encode_evidence(evidence, NOW))
    assert decode(sent) == evidence


def test_evidence_of_an_older_version_is_about_a_prompt_part():
    """Guards against a fleet of two versions that shares no evidence."""
    evidence = decode(ENCODER.encode(('dead', [('r1', 1, 500)], None)))
    assert evidence.cause == blame.part_cause(ids.PromptPartId('dead'))
    crash = blame.Crash(ids.RunnerId('r1'), 1)
    assert evidence.crashes == {crash: blame.Observation(NOW - 0.5)}


@gateway_fleet.with_fleet
async def test_evidence_of_an_unknown_kind_is_counted_and_ignored(fleet):
    """Guards against a newer version whose datagrams are lost here."""
    context = fleet.gateway._context
    suspects = [
        peer_datagram.Suspect('k', [('r1', 1, 0)], None, 'unheard_of'),
        peer_datagram.Suspect('dead', [('r1', 1, 0)], None),
    ]
    fleet.gateway._peers._receive_crash_evidence(suspects, context.clock())
    dead = blame.part_cause(ids.PromptPartId('dead'))
    assert set(context.quarantine._suspects) == {dead}
    assert 'reason="unknown_causes"' in context.metrics.render()[0].decode()
