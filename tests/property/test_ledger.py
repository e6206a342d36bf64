"""Totals of what peers report, over any order of reports and silences."""

from hypothesis import given
from hypothesis import strategies as st

from primrosereel import _ids as ids
from primrosereel.routing import _ledger as ledger_module

ZONES = [ids.AvailabilityZone(name) for name in 'abc']
RUNNERS = [ids.RunnerId(name) for name in ('d0', 'd1', 'd2')]
SERVICE = ids.ServiceId('llm')
QUEUE_HEAD = st.builds(
    ledger_module.QueueHead,
    st.just(SERVICE),
    st.booleans(),
    st.integers(0, 3),
    st.sampled_from([0.0, 0.2, 1.0]),
)
REPORT = st.builds(
    ledger_module.PeerReport,
    instance=st.sampled_from([ids.InstanceId(f'i{n}') for n in range(6)]),
    incarnation=st.integers(1, 3),
    sequence=st.integers(1, 30),
    uses=st.dictionaries(
        st.sampled_from(RUNNERS),
        st.builds(ledger_module.Use, *[st.integers(0, 2)] * 3),
    ),
    waiting_tokens=st.integers(0, 9),
    queue_heads=st.lists(QUEUE_HEAD, max_size=2).map(tuple),
    leaving=st.booleans(),
    availability_zone=st.sampled_from(ZONES),
)
# A report, or the zones of the own shard from now on, and the time until it.
STEPS = st.lists(
    st.tuples(
        st.one_of(REPORT, st.sets(st.sampled_from(ZONES))),
        st.sampled_from([0.0, 0.1, 0.6, 1.3, 2.5, 4.0, 21.0]),
    ),
    max_size=40,
)


class AllReports:
    """Keeps the reports of all peers, and computes each total anew."""

    def __init__(self, owned):
        self._owned = owned
        self._seen = {}
        self._missing = {}

    def apply(self, report, now):
        known, _ = self._seen.get(report.instance, (None, 0.0))
        order = report.incarnation, report.sequence
        if known is None or order > (known.incarnation, known.sequence):
            self._seen[report.instance] = report, now
            self._missing.pop(report.instance, None)

    def expire(self, now):
        for instance, (report, at) in list(self._seen.items()):
            if now - at > ledger_module.PEER_TIMEOUT_S:
                del self._seen[instance]
                if not report.leaving and self._in_shard(report):
                    self._missing[instance] = at

    def use(self, runner):
        uses = [
            report.uses[runner]
            for report, _ in self._seen.values()
            if runner in report.uses
        ]
        return tuple(map(sum, zip((0, 0, 0), *uses, strict=True)))

    def shard(self):
        return [
            entry for entry in self._seen.values() if self._in_shard(*entry)
        ]

    def _in_shard(self, report, _=None):
        return report.availability_zone in self._owned

    def missing(self, now):
        limit_s = ledger_module.MISSING_PEER_VALID_S
        return sum(now - at <= limit_s for at in self._missing.values())

    def is_first(self, head, now):
        return not any(
            other.rank(now - at) < head.rank()
            for report, at in self.shard()
            if now - at <= ledger_module.QUEUE_HEAD_VALID_S
            for other in report.queue_heads
        )


@given(STEPS, QUEUE_HEAD)
def test_totals_equal_those_computed_from_all_reports(steps, head):
    """Guards against totals that drift from what the peers reported.

    Peers restart, fall silent, return and move to other shards, and reports
    arrive late.
    """
    owned = set(ZONES)
    ledger = ledger_module.Ledger(lambda zone: zone in owned)
    expected = AllReports(owned)
    now = 100.0
    for change, seconds in steps:
        now += seconds
        if isinstance(change, ledger_module.PeerReport):
            expected.apply(change, now)
            ledger.apply(change, now)
        else:
            owned.clear()
            owned.update(change)
        expected.expire(now)
        for runner in RUNNERS:
            assert ledger.peer_use(runner, now) == expected.use(runner)
        shard = expected.shard()
        assert ledger.peer_count(now) == len(shard)
        assert ledger.waiting_tokens(now) == sum(
            report.waiting_tokens for report, _ in shard
        )
        assert ledger.missing_count(now) == expected.missing(now)
        assert ledger.is_first(head, now) == expected.is_first(head, now)
