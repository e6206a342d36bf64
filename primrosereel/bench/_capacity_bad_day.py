"""The rows of a bad day, on top of the rows of the roles."""

from primrosereel.bench import _capacity_core as core
from primrosereel.bench import _capacity_rows as rows
from primrosereel.bench import _capacity_texts as sizes

__all__ = ['bad_day']

LISTS_A_DAY = rows.LISTS_A_RESTART * (
    rows.RESTARTS_A_DAY + rows.FAILURES_A_DAY
)


def bad_day(s: rows.Slopes) -> list[rows.Row]:
    """Return the rows of restarts, losses and partitions."""
    rates = {r.name: r for r in rows.roles(s)}
    mean = rates['mean daemon, under load']
    return [
        _restarts(s),
        _zone_lost(s, mean),
        _apart(s, mean),
        _service_back(s),
        _all_restarted(s),
    ]


def _restarts(s: rows.Slopes) -> rows.Row:
    lists = LISTS_A_DAY / rows.DAY_S
    sent = lists * s.sent('list change', 'ListingUpdate', 'LiveGrantsQuery')
    payload = lists * s.payload('list change', 'ListingUpdate')
    change_s = s.at('list change by daemons', core.FULL.daemons)
    return rows.Row(
        '680 restarts and 21 failures a day',
        'three lists each, passed on by the readers',
        'core/_instance_list.py',
        None,
        sent,
        s.wire(sent, payload),
        lists * change_s + s.calls(sent),
        None,
        'on top of the mean daemon, already in its membership row',
    )


def _zone_lost(s: rows.Slopes, mean: rows.Row) -> rows.Row:
    size = core.FULL.region_daemons
    lost = core.FULL.daemons // sizes.AVAILABILITY_ZONES
    factor = size / (size - lost)
    assert mean.core is not None and mean.bytes_s is not None
    assert mean.messages_s is not None and mean.memory is not None
    return rows.Row(
        'an availability zone lost at the peak',
        f'{lost} of the {size} daemons of a region gone',
        'core/_ownership.py, core/_pool_system.py',
        None,
        mean.messages_s * factor,
        mean.bytes_s * factor,
        mean.core * factor,
        mean.memory,
        f'the mean daemon of the region with {factor:.2f} times its load; '
        'not measured as a whole',
        remedy='those of the roles',
    )


def _apart(s: rows.Slopes, mean: rows.Row) -> rows.Row:
    sent = s.sent('apart', 'Heartbeat') / 2
    payload = s.payload('apart', 'Heartbeat')
    more = s.core('apart', 'tick', 'Heartbeat', 'PeerFailed')
    quiet = s.core('idle', 'tick', 'Heartbeat')
    calls = sent - s.sent('idle', 'Heartbeat') / 2
    assert mean.core is not None and mean.bytes_s is not None
    assert mean.messages_s is not None
    return rows.Row(
        'regions apart for an hour and back',
        'probes of suspects, at most 4 a second, with up to 8 names',
        'core/_membership.py, core/_peer_states.py',
        None,
        mean.messages_s + calls,
        mean.bytes_s + s.wire(calls, payload),
        mean.core + more - quiet + s.calls(calls),
        mean.memory,
        'measured idle and apart, added to the mean daemon; coming back '
        'costs one text difference or full text',
        remedy='those of the roles; one probe a second in all for suspects '
        'of a region that is wholly suspect',
    )


def _service_back(s: rows.Slopes) -> rows.Row:
    text = s.at('text, JSON bytes', core.FULL.runners)
    parse_s = s.at('parse and check of a text', core.FULL.runners)
    return rows.Row(
        'configuration service back after an hour, everyone waiting',
        'back-off of 1 s to 10 s with jitter; all read at once at worst',
        'core/_service_reads.py, core/_backoff.py',
        None,
        1.0,
        text / 10,
        parse_s / 10,
        None,
        'each daemon without a text reads it once within 10 s; bound, not '
        'measured as a whole',
        remedy='none is needed: each daemon pays once for a text of '
        'this size; the mean over a day is far below the budget',
        reads_s=float(core.FULL.daemons),
    )


def _all_restarted(s: rows.Slopes) -> rows.Row:
    kinds = [n.split(': ')[1] for n in s.fits if n.startswith('start: ')]
    spent = sum(
        s.core('start', k.removesuffix(' core'))
        for k in kinds
        if k.endswith(' core')
    )
    names = [k.removesuffix(' B/s') for k in kinds if k.endswith(' B/s')]
    sent = s.sent('start', *names)
    return rows.Row(
        'all daemons restarted at once, first second',
        'each reads text and list, asks two peers, collects live grants',
        'core/_configuration.py, core/_service_reads.py',
        None,
        sent,
        s.wire(sent, s.payload('start', *names)),
        spent,
        None,
        'one second only; before a text is in force nothing is served; its '
        'parse is most of the cost',
        remedy='none is needed: a budget of a mean day, exceeded for one '
        'second; a parse is paid once a start',
        reads_s=s.sent('start', 'WatchConfiguration') * core.FULL.daemons,
    )
