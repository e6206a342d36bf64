"""Errors in a status page or in a reload leave the process running."""

import os
import signal

import pytest

from primrosereel import _ids as ids
from primrosereel import platform
from primrosereel.gateway import _composition as composition
from primrosereel.gateway import _metrics as metrics
from primrosereel.routing import _model as model
from tests import gateway_fleet


def fail(*_):
    raise KeyError('injected')


def assert_counted(gateway, log):
    assert "KeyError('injected')" in log.named('part failed')[0]['detail']
    body, _ = gateway._context.metrics.render()
    assert b'internal_errors_total' in body


async def start_with_metrics(fleet):
    """Start a second gateway with a metrics page; return it and its log."""
    log = gateway_fleet.ListLog()
    settings = gateway_fleet.make_settings(
        fleet, instance=ids.InstanceId('i2')
    )
    port = gateway_fleet.free_port()
    gateway = composition.Gateway(
        settings,
        platform.Dialect(),
        platform.Store,
        log,
        composition.Options(metrics_port=port),
    )
    fleet.tasks.start_soon(gateway.run)
    await fleet.wait_for(lambda: gateway.ready)
    await fleet.wait_for(lambda: bool(log.named('started')))
    return gateway, log, model.Address('127.0.0.1', port)


@pytest.mark.parametrize(
    ('path', 'status'), [('/v1/readiness', 503), ('/metrics', 500)]
)
@gateway_fleet.with_fleet
async def test_error_in_a_status_page_leaves_the_process_running(
    fleet, path, status, monkeypatch
):
    """Guards against a page whose error ends all requests in progress."""
    gateway, log, metrics_address = await start_with_metrics(fleet)
    address = metrics_address
    if path != '/metrics':
        address = gateway._settings.readiness
    with monkeypatch.context() as patch:
        patch.setattr(composition.Gateway, 'ready', property(fail))
        patch.setattr(metrics.Metrics, 'render', fail)
        async with gateway_fleet.Client(address) as client:
            assert (await client.ask(path, 'r1')).status == status
    async with gateway_fleet.Client(address) as client:
        assert (await client.ask(path, 'r2')).status == 200
    async with gateway_fleet.Client(gateway._settings.callers) as client:
        assert (await client.ask('/read/1', 'r3')).status == 200
    assert_counted(gateway, log)


@gateway_fleet.with_fleet
async def test_error_in_a_reload_leaves_the_process_running(fleet):
    """Guards against a SIGHUP that ends all requests in progress."""
    fleet.gateway._reload = fail
    os.kill(os.getpid(), signal.SIGHUP)
    await fleet.wait_for(lambda: bool(fleet.log.named('part failed')))
    fleet.gateway._reload = lambda: None
    assert (await fleet.ask('/read/1', 'r1')).status == 200
    assert_counted(fleet.gateway, fleet.log)
    os.kill(os.getpid(), signal.SIGHUP)
    await fleet.wait_for(lambda: len(fleet.log.named('reload asked for')) == 2)
