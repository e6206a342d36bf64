"""Computes the rows of failures and restarts from those of the roles."""

from primrosereel.bench import _capacity_core as core
from primrosereel.bench import _capacity_rows as rows
from primrosereel.bench import _capacity_texts as fleet_texts

__all__ = ['bad_day_rows']

LIST_CHANGES_PER_DAY = rows.LIST_CHANGES_PER_RESTART * (
    rows.RESTARTS_PER_DAY + rows.FAILURES_PER_DAY
)


def bad_day_rows(measured: rows.Measurements) -> list[rows.Row]:
    """Return the rows of restarts, lost zones, partitions and outages."""
    rows_by_name = {r.name: r for r in rows.role_rows(measured)}
    mean = rows_by_name['mean daemon, under load']
    return [
        _restarts(measured),
        _zone_lost(measured, mean),
        _regions_partitioned(measured, mean),
        _configuration_service_back(measured),
        _all_daemons_restarted(measured),
    ]


def _restarts(measured: rows.Measurements) -> rows.Row:
    lists = LIST_CHANGES_PER_DAY / rows.SECONDS_PER_DAY
    sent = lists * measured.messages_per_s(
        'list change', 'ListingUpdate', 'LiveGrantsQuery'
    )
    payload = lists * measured.payload_bytes_per_s(
        'list change', 'ListingUpdate'
    )
    change_s = measured.predict(
        'list change by daemons', core.FULL_SIZE.daemons
    )
    return rows.Row(
        '680 restarts and 21 failures a day',
        'three lists each, passed on by the readers',
        'core/_instance_list.py',
        None,
        sent,
        measured.wire_bytes(sent, payload),
        lists * change_s + measured.call_cpu_s(sent),
        None,
        'on top of the mean daemon, already in its membership row',
    )


def _zone_lost(measured: rows.Measurements, mean: rows.Row) -> rows.Row:
    daemons = core.FULL_SIZE.daemons_per_region
    lost = core.FULL_SIZE.daemons // fleet_texts.ZONE_COUNT
    factor = daemons / (daemons - lost)
    assert mean.core is not None and mean.bytes_s is not None
    assert mean.messages_s is not None and mean.memory is not None
    return rows.Row(
        'an availability zone lost at the peak',
        f'{lost} of the {daemons} daemons of a region gone',
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


def _regions_partitioned(
    measured: rows.Measurements, mean: rows.Row
) -> rows.Row:
    sent = measured.messages_per_s('apart', 'Heartbeat') / 2
    payload = measured.payload_bytes_per_s('apart', 'Heartbeat')
    partitioned_share = measured.core_share(
        'apart', 'tick', 'Heartbeat', 'PeerFailed'
    )
    idle_share = measured.core_share('idle', 'tick', 'Heartbeat')
    calls = sent - measured.messages_per_s('idle', 'Heartbeat') / 2
    assert mean.core is not None and mean.bytes_s is not None
    assert mean.messages_s is not None
    return rows.Row(
        'regions apart for an hour and back',
        'probes of suspects, at most 4 a second, with up to 8 names',
        'core/_membership.py, core/_peer_states.py',
        None,
        mean.messages_s + calls,
        mean.bytes_s + measured.wire_bytes(calls, payload),
        mean.core
        + partitioned_share
        - idle_share
        + measured.call_cpu_s(calls),
        mean.memory,
        'measured idle and apart, added to the mean daemon; coming back '
        'costs one text difference or full text',
        remedy='those of the roles; one probe a second in all for suspects '
        'of a region that is wholly suspect',
    )


def _configuration_service_back(measured: rows.Measurements) -> rows.Row:
    text_bytes = measured.predict('text, JSON bytes', core.FULL_SIZE.runners)
    parse_s = measured.predict(
        'parse and check of a text', core.FULL_SIZE.runners
    )
    return rows.Row(
        'configuration service back after an hour, everyone waiting',
        'back-off of 1 s to 10 s with jitter; all read at once at worst',
        'core/_configuration_reads.py, core/_backoff.py',
        None,
        1.0,
        text_bytes / 10,
        parse_s / 10,
        None,
        'each daemon without a text reads it once within 10 s; bound, not '
        'measured as a whole',
        remedy='none is needed: each daemon pays once for a text of '
        'this size; the mean over a day is far below the budget',
        reads_s=float(core.FULL_SIZE.daemons),
    )


def _all_daemons_restarted(measured: rows.Measurements) -> rows.Row:
    kinds = [
        n.split(': ')[1] for n in measured.fits if n.startswith('start: ')
    ]
    core_share = sum(
        measured.core_share('start', k.removesuffix(' core'))
        for k in kinds
        if k.endswith(' core')
    )
    names = [k.removesuffix(' B/s') for k in kinds if k.endswith(' B/s')]
    sent = measured.messages_per_s('start', *names)
    return rows.Row(
        'all daemons restarted at once, first second',
        'each reads text and list, asks two peers, collects live grants',
        'core/_configuration.py, core/_configuration_reads.py',
        None,
        sent,
        measured.wire_bytes(
            sent, measured.payload_bytes_per_s('start', *names)
        ),
        core_share,
        None,
        'one second only; before a text is in force nothing is served; its '
        'parse is most of the cost',
        remedy='none is needed: a budget of a mean day, exceeded for one '
        'second; a parse is paid once a start',
        reads_s=measured.messages_per_s('start', 'WatchConfiguration')
        * core.FULL_SIZE.daemons,
    )
