"""Settings that cannot be kept are refused, or need a new process."""

import dataclasses

import pytest
from returns import pipeline

from primrosereel import platform
from primrosereel.routing import _model as model
from tests import gateway_fleet
from tests.property import test_fuzz_platform


@pytest.mark.parametrize('value', [b'nan', b'inf', b'-1'])
@pytest.mark.parametrize('name', [b'graceS', b'drainMs'])
def test_bounds_that_are_no_durations_are_refused(name, value):
    """Guards against a reload after which a stop cuts all requests.

    With such a grace the time for requests in progress was over at once.
    """
    lines = [
        name + b' = ' + value if line.startswith(name) else line
        for line in test_fuzz_platform.SETTINGS.splitlines()
    ]
    parsed = platform.read_settings(b'\n'.join(lines))
    assert not pipeline.is_successful(parsed)
    assert name.decode() in parsed.failure()


@gateway_fleet.with_fleet
async def test_changed_store_address_needs_a_new_process(fleet):
    """Guards against an address that is logged as in force and not used.

    The client of the store is built once, at the start.
    """
    gateway = fleet.gateway
    old = gateway._settings
    store = model.Address('127.0.0.1', gateway_fleet.free_port())
    new = dataclasses.replace(old, store=store, retry_slack=7.0)
    gateway._reload = lambda: new
    await fleet.wait_for(lambda: gateway._settings.retry_slack == 7.0)
    assert gateway._settings.store == old.store
    line = fleet.log.named('settings need a new process')[0]
    assert 'store' in line['kept']


@pytest.mark.parametrize(
    ('old', 'new', 'named'),
    [
        (b'[7000, 7015]', b'[0, 7015]', 'internalPortRange'),
        (b'[7000, 7015]', b'[65536, 7015]', 'internalPortRange'),
        (b'[7000, 7015]', b'[-1, 7015]', 'internalPortRange'),
        (b'graceS = 6', b'graceS = 1e300', 'graceS'),
        (b'graceS = 6', b'retryBudgetSlack = 1e300', 'retryBudgetSlack'),
        (b'[bounds]', b'[limits]\nmemoryMb = 1e-9\n[bounds]', 'memoryMb'),
        (b'[bounds]', b'[limits]\nmemoryMb = -1\n[bounds]', 'memoryMb'),
        (b'[bounds]', b'[limits]\nmemoryMb = nan\n[bounds]', 'memoryMb'),
        (
            b'[bounds]',
            b'[limits]\nfileDescriptors = 0\n[bounds]',
            'fileDescriptors',
        ),
        (
            b'[bounds]',
            b'[limits]\nfileDescriptors = 1' + b'0' * 30 + b'\n[bounds]',
            'fileDescriptors',
        ),
        (b'address = "127.0.0.1:1003"', b'address = "127.0.0.1: 3"', 'PORT'),
    ],
)
def test_numbers_out_of_range_are_refused(old, new, named):
    """Guards against a process that stops at its first use of a setting."""
    assert old in test_fuzz_platform.SETTINGS
    parsed = platform.read_settings(
        test_fuzz_platform.SETTINGS.replace(old, new)
    )
    assert not pipeline.is_successful(parsed)
    assert named in parsed.failure()
