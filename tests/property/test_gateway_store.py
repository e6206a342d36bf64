"""What the gateway reads from the store: runners and configurations."""

import anyio
import pytest

from primrosereel.standin import _listed_runner as listed_runner
from primrosereel.standin import _metadata_store as metadata_store
from tests import gateway_fleet

Fault = listed_runner.Fault
STREAM = {'Token_Usage': '400,40', 'Model': 'm', 'Deadline_Ms': 4000}
STABLE_WINDOW_S = 1.5

run = gateway_fleet.run_scenario


def test_leaving_runner_gets_no_new_work():
    """Guards against requests to a runner that drains or was delisted."""

    async def scenario(fleet):
        fleet.list_runner('s1', 'draining')
        fleet.store.delete('servers/d1')
        await anyio.sleep(0.3)
        for number in range(8):
            await fleet.ask('/read/1', f'r{number}')
            await fleet.ask('/once/1', f'g{number}', method='POST', **STREAM)
        assert not fleet.runners['s1'].runs
        assert not fleet.runners['d1'].runs

    run(scenario)


def test_configurations_take_effect_and_never_revert():
    """Guards against an older configuration that replaces a newer one.

    A stale copy of an older version can be written to the store.
    """

    async def scenario(fleet):
        newer = gateway_fleet.configuration(
            5, [('/new/', 'plain', 'idempotent')]
        )
        fleet.store.put('op/config', newer)
        await anyio.sleep(0.3)
        assert (await fleet.ask('/new/1', 'r1')).status == 200
        fleet.store.put('op/config', gateway_fleet.configuration(4))
        await anyio.sleep(0.3)
        assert (await fleet.ask('/new/1', 'r2')).status == 200
        assert (await fleet.ask('/none/1', 'r3')).status == 404

    run(scenario)


@pytest.mark.parametrize(
    'trouble',
    [
        metadata_store.StoreMode.BUSY,
        metadata_store.StoreMode.RESET,
        metadata_store.StoreMode.SILENT,
        'history',
    ],
)
def test_changes_are_read_after_a_store_outage(trouble):
    """Guards against a watch that hangs after an outage of the store.

    After 8 s without a response a watch hung, and a new route returned 404.
    """

    async def scenario(fleet):
        if trouble == 'history':
            fleet.store.forget_history()
        else:
            fleet.store.mode = trouble
            # Watches that are waiting are not sent this change.
            fleet.store.put('other', {})
            await anyio.sleep(1.0)
            assert (await fleet.ask('/read/1', 'r1')).status == 200
        fleet.store.put(
            'op/config',
            gateway_fleet.configuration(9, [('/new/', 'plain', 'idempotent')]),
        )
        fleet.store.mode = metadata_store.StoreMode.UP
        await anyio.sleep(2.0)
        assert (await fleet.ask('/new/1', 'r2')).status == 200

    run(scenario)


@pytest.mark.parametrize('outage_s', [2.2, 2.9, 3.6])
@pytest.mark.parametrize(
    'mode', [metadata_store.StoreMode.SILENT, metadata_store.StoreMode.BUSY]
)
def test_store_is_regained_within_the_stable_window(mode, outage_s):
    """Guards against an instance that learns late that the store is back.

    Within this time after an outage an instance is expected to keep all
    bounds again.
    """

    async def scenario(fleet):
        fleet.store.mode = mode
        await anyio.sleep(outage_s)
        assert fleet.log.named('store lost')
        fleet.store.mode = metadata_store.StoreMode.UP
        await fleet.wait_for(
            lambda: bool(fleet.log.named('store regained')), STABLE_WINDOW_S
        )

    run(scenario, stable_window_s=STABLE_WINDOW_S)


@pytest.mark.parametrize(
    'value',
    [
        b'',
        b'\xff\xfe',
        b'{"service": "plain"',
        {'service': 'plain', 'address': '127.0.0.1:1', 'state': 'ready'},
        {'service': 7, 'address': 'x', 'state': 'ready'},
        [1],
    ],
)
def test_unreadable_store_entries_are_ignored(value):
    """Guards against an unreadable entry that blocks the other entries.

    Entries may be forged or truncated.
    """

    async def scenario(fleet):
        fleet.store.put('servers/forged', value)
        await fleet.add_runner('s3', 'plain')
        context = fleet.gateway._context
        await fleet.wait_for(lambda: context.runners.get('s3') is not None)
        assert context.runners.get('forged') is None

    run(scenario)


def test_instance_stays_ready_when_store_history_is_lost():
    """Guards against instances that all become not ready in a store outage.

    The store has dropped its history and refuses to be read again.
    """

    async def scenario(fleet):
        fleet.store.ranges_refused = True
        fleet.store.forget_history()
        await fleet.wait_for(
            lambda: bool(fleet.log.named('store history lost'))
        )
        await anyio.sleep(0.3)
        assert fleet.gateway.ready
        assert (await fleet.ask('/read/1', 'r1')).status == 200

    run(scenario)
