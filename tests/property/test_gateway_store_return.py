"""A gateway's store comes back from an older copy of itself."""

import anyio
import msgspec
import pytest

from primrosereel import _ids as ids
from primrosereel import platform
from primrosereel.gateway import _ports as ports
from primrosereel.gateway import _store_reader as store_reader
from primrosereel.routing import _availability as availability
from primrosereel.routing import _availability_record as availability_record
from primrosereel.routing import _model as model
from primrosereel.routing import _peer_versions as peer_versions
from primrosereel.routing import _store_history as store_history
from primrosereel.standin import _metadata_store as metadata_store
from tests import gateway_fleet
from tests.property import test_gateway_peers

run = gateway_fleet.run_scenario
Mode = metadata_store.StoreMode
Use = store_history.AnswerUse


def write_new_route(store, version=9):
    """Write a configuration with a route that version 1 lacks."""
    routes = [('/new/', 'plain', 'idempotent')]
    store.put('op/config', gateway_fleet.configuration(version, routes))


def write_others(store, count=3):
    for number in range(count):
        store.put(f'other/{number}', {})


async def reach_present_revision(fleet):
    """Wait until the gateway watches from the store's revision."""
    await fleet.wait_for(
        lambda: (
            fleet.gateway._reader._watch_state.revision
            == fleet.store.copy().revision
        )
    )


def versions(fleet):
    lines = fleet.log.named('configuration in force')
    return [line['version'] for line in lines]


@pytest.mark.parametrize('away', [Mode.RESET, Mode.BUSY, Mode.SILENT, None])
def test_change_written_again_below_the_watched_revision_is_seen(away):
    """Guards against a configuration that an instance never reads.

    The store gave its revisions out again, and they had passed the
    instance's when it was back, so a watch from there got no 410: new routes
    were refused with 404 to the end. The second reading must not wait for
    the pause between watches either.
    """

    async def scenario(fleet):
        copy = fleet.store.copy()
        write_others(fleet.store)
        await reach_present_revision(fleet)
        if away is not None:
            fleet.store.mode = away
            # Ends a watch that is waiting.
            write_others(fleet.store, 1)
            await anyio.sleep(0.3)
        fleet.store.restore(copy)
        write_new_route(fleet.store)
        write_others(fleet.store, 5)
        fleet.store.mode = Mode.UP
        await fleet.wait_for(
            lambda: bool(fleet.log.named('store came back from a copy')), 6.0
        )
        await anyio.sleep(0.5)
        assert (await fleet.ask('/new/1', 'r1')).status == 200
        assert versions(fleet) == [1, 9]

    run(scenario, runner_drain_s=4.0, configuration_s=4.0)


def test_answer_of_an_older_era_is_discarded():
    """Guards against an answer that was under way over a return.

    It tells of a history that the store has lost.
    """

    async def scenario(fleet):
        fleet.store.restore(fleet.store.copy())
        await fleet.wait_for(
            lambda: bool(fleet.log.named('store came back from a copy'))
        )
        fleet.store.era = 1
        write_new_route(fleet.store)
        await fleet.wait_for(
            lambda: bool(fleet.log.named('store answer discarded'))
        )
        assert versions(fleet) == [1]
        fleet.store.era = 2
        await fleet.wait_for(lambda: versions(fleet) == [1, 9])

    run(scenario)


@pytest.mark.parametrize('era', [None, -1])
def test_store_without_a_readable_era_is_read_as_before(era):
    """Guards against an instance that needs the header, or trusts any."""

    async def scenario(fleet):
        fleet.store.era = era
        write_new_route(fleet.store)
        await fleet.wait_for(lambda: versions(fleet) == [1, 9])
        fleet.store.forget_history()
        await fleet.wait_for(
            lambda: bool(fleet.log.named('store history lost'))
        )
        write_new_route(fleet.store, 11)
        await fleet.wait_for(lambda: versions(fleet) == [1, 9, 11])
        unreadable = fleet.log.named('store era unreadable')
        assert len(unreadable) == (0 if era is None else 1)

    run(scenario)


def test_store_that_refuses_every_watch_is_read_with_pauses():
    """Guards against a loop of readings without a pause.

    A store whose history is shorter than a reading takes answers each watch
    with 410.
    """

    async def scenario(fleet):
        fleet.store._history_start = 10**9
        await anyio.sleep(0.5)
        calls = fleet.store.calls
        await anyio.sleep(1.0)
        # A reading takes two calls and a watch one, every 0.07 s.
        assert fleet.store.calls - calls <= 3 * 1.0 / 0.07
        write_new_route(fleet.store)
        await fleet.wait_for(lambda: versions(fleet) == [1, 9])

    run(scenario)


@pytest.mark.parametrize(
    ('answers', 'uses'),
    [
        # Answers as era and revision, and which history each belongs to.
        ([(1, 50), (1, 60), (2, 70)], [Use.CURRENT, Use.CURRENT, Use.NEWER]),
        ([(1, 50), (2, None), (2, 40)], [Use.CURRENT, Use.NEWER, Use.CURRENT]),
        ([(1, 50), (2, 40), (1, 60)], [Use.CURRENT, Use.NEWER, Use.OLDER]),
        ([(None, 50), (None, 40)], [Use.CURRENT, Use.NEWER]),
        (
            [(None, 50), (3, 60), (None, 70)],
            [Use.CURRENT, Use.NEWER, Use.CURRENT],
        ),
        ([(1, None), (2, 50)], [Use.CURRENT, Use.CURRENT]),
        ([(1, 50), (1, 40)], [Use.CURRENT, Use.NEWER]),
    ],
)
def test_answers_are_assigned_to_histories(answers, uses):
    """Guards against a return that is missed, or seen where there is none."""
    history = store_history.StoreHistory()
    seen = [history.observe(era, at, 0.0) for era, at in answers]
    assert seen == uses


def test_store_that_counts_its_eras_anew_is_read_after_some_time():
    """Guards against an instance that discards all answers for ever."""
    history = store_history.StoreHistory()
    assert history.observe(7, 50, 0.0) is Use.CURRENT
    limit_s = store_history.MAX_OLDER_ERA_S
    assert history.observe(1, 5, 1.0) is Use.OLDER
    assert history.observe(1, 5, 0.9 + limit_s) is Use.OLDER
    assert history.observe(1, 5, 1.1 + limit_s) is Use.NEWER
    assert (history.era, history.revision) == (1, 5)


def read_pages(pages):
    """Read a store that sends pages with the given eras and revisions."""
    left = iter(pages)
    calls = []

    async def call(method, target, limit, wait_s):
        del method, limit, wait_s
        calls.append(target)
        era, revision = next(left)
        headers = [] if era is None else [(b'store-era', b'%d' % era)]
        page = {'items': [], 'hasMore': False, 'at': revision}
        return ports.StoreResponse(200, headers, msgspec.json.encode(page))

    async def main():
        return await platform.Store(call).read()

    return anyio.run(main), len(calls)


@pytest.mark.parametrize(
    'pages',
    [
        [(1, 50), (2, 60), (2, 61), (2, 62)],
        [(1, 50), (1, 40), (1, 41), (1, 41)],
        [(None, 50), (None, 40), (None, 41), (None, 41)],
    ],
)
def test_pages_of_two_histories_are_not_one_state(pages):
    """Guards against a configuration of a lost history beside newer runners.

    The revision of such a state belongs to neither history.
    """
    state, calls = read_pages(pages)
    assert calls == 4
    assert state.revision == pages[2][1]


def test_pages_that_never_fit_are_an_unavailable_store():
    """Guards against a reading that is repeated without end."""
    with pytest.raises(ports.StoreUnavailable):
        read_pages([(era, 50) for era in range(100)])


async def lose_writes(fleet, copy):
    """Let the store come back from a copy, and wait until that is noticed."""
    returns = len(fleet.log.named('store came back from a copy'))
    reads = len(fleet.log.named('store read'))
    fleet.store.restore(copy)
    await fleet.wait_for(
        lambda: (
            len(fleet.log.named('store came back from a copy')) > returns
            and len(fleet.log.named('store read')) > reads
        )
    )


def test_runner_that_the_copy_lacks_is_served_until_it_registers_again():
    """Guards against a service without runners after a return.

    Runners that came after the copy write their entries again within about
    two seconds; one that does not is gone.
    """

    async def scenario(fleet):
        runners = fleet.gateway._context.runners
        copy = fleet.store.copy()
        await fleet.add_runner('s3', 'plain')
        await fleet.add_runner('s4', 'plain')
        await fleet.wait_for(lambda: runners.get('s4') is not None)
        before = runners.get('s3')
        await lose_writes(fleet, copy)
        assert runners.get('s3') is before
        fleet.list_runner('s3')
        await fleet.wait_for(lambda: runners.get('s4') is None)
        assert fleet.log.named('runner gone')[0]['runner'] == 's4'
        assert runners.get('s3') is before

    run(scenario)


def test_older_entry_of_a_runner_is_ignored_after_a_return():
    """Guards against new requests to a runner that said that it drains.

    The copy lists it as ready, with an older entry of the same run, until
    the runner writes again.
    """

    async def scenario(fleet):
        runners = fleet.gateway._context.runners
        copy = fleet.store.copy()
        fleet.list_runner('s1', 'draining', sequence=2)
        await fleet.wait_for(lambda: runners.get('s1').listing.leaving)
        await lose_writes(fleet, copy)
        assert runners.get('s1').listing.leaving
        (ignored,) = fleet.log.named('runner entry ignored')
        assert (ignored['sequence'], ignored['known_sequence']) == (1, 2)
        fleet.list_runner('s1', 'ready', sequence=3)
        await fleet.wait_for(lambda: not runners.get('s1').listing.leaving)

    run(scenario)


@pytest.mark.parametrize(
    ('known', 'new', 'older'),
    [
        # Start of the run and sequence of the known and of the new entry.
        ((100, 5), (100, 4), True),
        ((100, 5), (100, 5), False),
        ((100, 5), (100, 6), False),
        ((100, 5), (90, 9), True),
        ((100, 5), (110, 1), False),
        ((0, 5), (0, 4), False),
        ((100, 5), (0, 4), False),
    ],
)
def test_entries_of_a_runner_are_ordered_by_run_and_sequence(
    known, new, older
):
    """Guards against a new run that counts as an old entry, or the reverse.

    The order holds between histories only: within one the store's own order
    does, so that a runner whose clock went back can be listed.
    """
    before, after = (availability.RunVersion(*entry) for entry in (known, new))
    assert availability_record.is_older(after, before) is older
    assert not availability_record.is_older(after, before, follows=True)
    for history, ignored in ((2, older), (1, False)):
        table = availability.AvailabilityTable()
        assert table.observe_entry(ids.RunnerId('r1'), before, False, 0.0, 1)
        listed = table.observe_entry(
            ids.RunnerId('r1'), after, False, 1.0, history
        )
        assert listed is not ignored


def test_streams_leave_a_runner_that_drains_while_history_is_lost():
    """Guards against streams that stay at a runner until it exits.

    The entry of the runner was only seen in a reading of all entries, and
    such a reading started no moves.
    """

    async def scenario(fleet):
        leaving = []

        async def leave():
            leaving.append('s1')

        callbacks = fleet.gateway._context.leave_callbacks
        with callbacks.registered(ids.RunnerId('s1'), leave):
            fleet.store.mode = Mode.RESET
            fleet.list_runner('s1', 'draining', sequence=2)
            fleet.store.forget_history()
            await anyio.sleep(0.3)
            fleet.store.mode = Mode.UP
            reads = len(fleet.log.named('store read'))
            await fleet.wait_for(
                lambda: len(fleet.log.named('store read')) > reads
            )
            await anyio.sleep(0.1)
            assert leaving == ['s1']

    run(scenario)


def test_version_in_force_stays_when_the_copy_has_an_older_one():
    """Guards against an instance that goes back to the copy's version."""

    async def scenario(fleet):
        copy = fleet.store.copy()
        write_new_route(fleet.store)
        await fleet.wait_for(lambda: versions(fleet) == [1, 9])
        await lose_writes(fleet, copy)
        assert (await fleet.ask('/new/1', 'r1')).status == 200
        write_new_route(fleet.store)
        await lose_writes(fleet, fleet.store.copy())
        assert versions(fleet) == [1, 9]

    run(scenario)


def test_number_that_is_given_out_again_with_another_text_is_read():
    """Guards against instances that keep different texts of one version.

    An operator that numbers by what the store holds gives the lost version's
    number to its next text.
    """

    async def scenario(fleet):
        copy = fleet.store.copy()
        write_new_route(fleet.store)
        await fleet.wait_for(lambda: versions(fleet) == [1, 9])
        await lose_writes(fleet, copy)
        routes = [('/newer/', 'plain', 'idempotent')]
        text = gateway_fleet.configuration(9, routes)
        fleet.store.put('op/config', text)
        await anyio.sleep(0.5)
        assert (await fleet.ask('/newer/1', 'r1')).status == 200
        assert (await fleet.ask('/new/1', 'r2')).status == 404

    run(scenario)


def test_instance_that_starts_from_the_copy_denies_no_newer_route():
    """Guards against a 404 for a route that peers serve.

    An instance that starts between a return and the operator's writing knows
    the copy's version only. It takes the newer one when it is written.
    """
    port = gateway_fleet.free_port()
    own = model.Address('127.0.0.1', port)

    async def scenario(fleet):
        copy = fleet.store.copy()
        write_new_route(fleet.store)
        await fleet.wait_for(lambda: versions(fleet) == [1, 9])
        await lose_writes(fleet, copy)
        others = test_gateway_peers.OtherInstances(fleet, port)
        gateway, log = others.start('127.0.0.2')
        await fleet.wait_for(
            lambda: gateway.ready and bool(log.named('peer found'))
        )
        await anyio.sleep(0.1)
        async with gateway_fleet.Client(gateway._settings.callers) as client:
            refused = await client.ask('/new/1', 'r1')
            assert refused.status == 503
            assert float(refused.headers['retry-after']) > 0
            write_new_route(fleet.store)
            await fleet.wait_for(
                lambda: len(log.named('configuration in force')) == 2
            )
            assert (await client.ask('/new/1', 'r2')).status == 200
            assert (await client.ask('/none/1', 'r3')).status == 404
        assert (await fleet.ask('/new/1', 'r4')).status == 200

    run(scenario, peer=own, seeds=(own,))


def test_only_versions_that_peers_named_lately_count():
    """Guards against 503 for ever after a peer with a lost version ended."""
    peers = peer_versions.PeerVersions()
    assert peers.newest(0.0) == 0
    peers.observe('127.0.0.2', 9, 1.0)
    peers.observe('127.0.0.3', 4, 3.0)
    assert peers.newest(3.0) == 9
    assert peers.newest(1.1 + peer_versions.VERSION_TIMEOUT_S) == 4
    peers.observe('127.0.0.3', 3, 5.0)
    assert peers.newest(5.0) == 3


@pytest.mark.parametrize(
    ('era', 'taken', 'behind'),
    [
        # The notice's era, and what the instance, which knows era 2, does:
        # take the change, or read the store at once.
        (1, [1], False),
        (2, [1, 9], False),
        (3, [1], True),
        (None, [1], False),
    ],
)
def test_notice_of_another_history_is_not_applied(
    monkeypatch, era, taken, behind
):
    """Guards against changes of a lost history that a peer passes on.

    Their revisions may fit those that the instance knows of the present
    history. A newer era than the own one tells of a return.
    """
    monkeypatch.setattr(store_reader, 'SHARES_WATCH', True)

    async def scenario(fleet):
        peer_store = metadata_store.MetadataStore()
        write_new_route(peer_store)
        (item,) = peer_store.copy().items.values()
        content = msgspec.msgpack.encode([item.as_item()])
        await lose_writes(fleet, fleet.store.copy())
        await reach_present_revision(fleet)
        reader = fleet.gateway._reader
        known = reader.notice()
        notice = known._replace(
            revision=known.revision + 5,
            confirmed_at=known.confirmed_at + 0.001,
            unchanged_since=known.revision + 5,
            change_known=True,
            since=known.revision,
            content=content,
            era=era,
        )
        reader.receive_notice(notice)
        assert versions(fleet) == taken
        due_at = reader._watch_state.due_at(10.0)
        assert (due_at < known.confirmed_at + 1.0) is behind

    run(scenario, runner_drain_s=2.0, configuration_s=2.0)
