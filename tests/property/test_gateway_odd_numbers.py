"""Numbers of another writer's entries that no true entry has."""

import json

import anyio
import pytest

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.routing import _availability as availability
from primrosereel.routing import _model as model
from primrosereel.routing import _runner_list as runner_list
from primrosereel.routing import _runners as runners
from tests import gateway_fleet
from tests.property import test_gateway_runner_notices as peer_scenarios

Availability = availability.Availability

run = gateway_fleet.run_scenario


def odd_entry(fleet, name, field, number, state='ready'):
    """Return an entry with a number that is given as JSON text."""
    entry = fleet.runners[name].entry(state) | {field: 'NUMBER'}
    return json.dumps(entry).replace('"NUMBER"', number).encode()


async def read_all(fleet):
    """Wait until all that was written to the store has been read."""
    name = f'mark{len(fleet.runners)}'
    await fleet.add_runner(name, 'plain')
    table = fleet.gateway._context.runners
    await fleet.wait_for(lambda: table.get(name) is not None)


def counted(fleet, line):
    body, _ = fleet.gateway._context.metrics.render()
    return line in body


@pytest.mark.parametrize('born', [2**64, 10**30, -(2**63) - 1])
def test_start_of_a_run_out_of_range_does_not_end_the_exchange(born):
    """Guards against a notice of a leaving runner that cannot be encoded.

    Each datagram to peers failed until the runner was forgotten.
    """

    async def scenario(fleet, other, *_):
        entry = odd_entry(fleet, 's1', 'born', str(born), 'draining')
        fleet.store.put('servers/odd', entry)
        await read_all(fleet)
        fleet.runners['s2'].leaving = True
        await peer_scenarios.leaving.ask_plain(fleet)
        await anyio.sleep(0.2)
        assert not fleet.log.named('part failed')

    peer_scenarios.run_with_peer(scenario)


@pytest.mark.parametrize(
    ('field', 'number'),
    [
        ('born', '18446744073709551616'),
        ('born', '-1'),
        ('sequence', '1' + '0' * 30),
        ('sequence', '-1'),
        ('slots', '1' + '0' * 30),
        ('slots', '0'),
        ('slots', '2.5'),
        ('coldRemainingMs', '1e999'),
        ('coldRemainingMs', '-1'),
        ('coldRemainingMs', '1e300'),
        ('address', '"127.0.0.1:65536"'),
        ('address', '"127.0.0.1:1234567890"'),
        ('address', '"127.0.0.1:0"'),
    ],
)
def test_entry_out_of_range_leaves_the_last_good_one(field, number):
    """Guards against another writer's number that replaces a true entry."""

    async def scenario(fleet):
        table = fleet.gateway._context.runners
        good = table.get('s1').listing
        odd = odd_entry(fleet, 's1', field, number)
        for _ in range(2):
            fleet.store.put('servers/s1', odd)
            await read_all(fleet)
            assert table.get('s1').listing == good
        (line,) = fleet.log.named('store entry unusable')
        assert line['key'] == 'servers/s1'
        assert len(line['detail']) <= 200
        assert counted(fleet, b'store_total{reason="out_of_range"} 2.0')
        # All entries are read anew.
        fleet.store.forget_history()
        fleet.store.put('servers/s2', odd_entry(fleet, 's2', 'slots', '9'))
        await fleet.wait_for(lambda: table.get('s2').listing.slots == 9)
        assert table.get('s1').listing == good
        fleet.store.delete('servers/s1')
        await fleet.wait_for(lambda: table.get('s1') is None)

    run(scenario)


def test_entry_out_of_range_names_no_new_runner():
    """Guards against a runner that only another writer's entry names."""

    async def scenario(fleet):
        entry = odd_entry(fleet, 's1', 'slots', '1' + '0' * 30)
        fleet.store.put('servers/odd', entry)
        await read_all(fleet)
        assert fleet.gateway._context.runners.get('odd') is None

    run(scenario)


@pytest.mark.parametrize('sequence', [10**9, 10**30])
def test_true_entry_is_used_after_an_odd_sequence(sequence):
    """Guards against a sequence that no true entry reaches again.

    After a return of the store from a copy the sequence tells which entry of
    a run is older.
    """

    async def scenario(fleet):
        table = fleet.gateway._context.runners
        copy = fleet.store.copy()
        odd = odd_entry(fleet, 's1', 'sequence', str(sequence))
        fleet.store.put('servers/s1', odd)
        fleet.list_runner('s1', sequence=2, slots=7)
        await read_all(fleet)
        fleet.store.restore(copy)
        fleet.list_runner('s1', sequence=3, slots=8)
        await fleet.wait_for(lambda: table.get('s1').listing.slots == 8)

    run(scenario)


@pytest.mark.parametrize('port', [' 80', '8_0', '+80', '٨٠'])
def test_port_is_written_in_plain_digits(port):
    """Guards against a runner listed at an address that no runner writes."""

    async def scenario(fleet):
        fleet.store.put(
            'servers/odd',
            fleet.runners['s1'].entry() | {'address': f'127.0.0.1:{port}'},
        )
        await read_all(fleet)
        assert fleet.gateway._context.runners.get('odd') is None

    run(scenario)


@pytest.mark.parametrize('at', [-1, 2**63, 10**30])
def test_revision_out_of_range_makes_an_answer_unusable(at, monkeypatch):
    """Guards against a watch from a revision that the store never had."""

    async def scenario(fleet):
        true_answer = fleet.store._answer

        async def answer(request):
            reply = await true_answer(request)
            if request.path == '/v1/kv-watch' and reply.body:
                body = json.loads(reply.body) | {'at': at}
                reply.body = json.dumps(body).encode()
            return reply

        with monkeypatch.context() as patch:
            patch.setattr(fleet.store, '_answer', answer)
            fleet.list_runner('s1', sequence=2, slots=5)
            await fleet.wait_for(lambda: bool(fleet.log.named('store lost')))
        watched_from = fleet.gateway._reader._watch_state.revision
        assert watched_from <= fleet.store._revision
        table = fleet.gateway._context.runners
        fleet.list_runner('s1', sequence=3, slots=6)
        await fleet.wait_for(lambda: table.get('s1').listing.slots == 6, 2.0)

    run(scenario)


def test_peers_notice_of_a_replaced_run_does_not_bar_the_true_one():
    """Guards against a start in the future that bars a runner at peers.

    A peer that had read another writer's entry, but not yet the true one
    after it, told that the run of the odd entry leaves.
    """
    table = runners.RunnerTable()
    listed = runner_list.RunnerList(table)
    runner = ids.RunnerId('s1')

    def read(born, leaving, sequence):
        listing = model.RunnerListing(
            runner,
            ids.ServiceId('plain'),
            model.Address('127.0.0.1', 80),
            ids.AvailabilityZone('z'),
            states.Role.PLAIN,
            4,
            leaving,
            born_ms=born,
            sequence=sequence,
        )
        listed.apply_change(runner_list.ListingChange(runner, listing), 1.0)

    read(10**12, False, 1)
    read(10**14, True, 1)
    read(10**12, False, 2)
    assert table.availability.accepts(runner, 1.0)
    for state in (Availability.LEAVING, Availability.GONE):
        notice = availability.Notice(runner, 10**14, state, 0.1)
        table.availability.receive(notice, 1.0)
        read(10**12, False, 3)
        assert table.availability.accepts(runner, 1.0)
