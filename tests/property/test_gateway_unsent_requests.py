"""Requests that hold a place at a runner which stops taking requests."""

import anyio
import pytest

from primrosereel.gateway import _http as http
from primrosereel.routing import _decode_places as decode_places
from primrosereel.routing import _priorities as priorities
from tests import gateway_fleet
from tests.property import test_gateway_back_off as back_offs
from tests.property import test_gateway_leaving_runners as leaving
from tests.property import test_gateway_rejections as rejections

back_off = back_offs.back_off
ask_stream = back_offs.ask_stream


def drain(fleet, name):
    fleet.list_runner(name, 'draining')


@pytest.mark.parametrize('stop', [back_off, drain])
@gateway_fleet.with_fleet
async def test_unsent_request_is_placed_anew_when_its_runner_stops(
    fleet, stop
):
    """Guards against a request that is sent to a runner that wants none.

    Its place and its connection are older than what the runner said. The
    prompt is not prefilled again.
    """
    leaving.prefer(fleet, 'd1')
    fleet.runners['p1'].options.work_s = 0.5

    async def stop_first():
        await fleet.wait_for(lambda: bool(fleet.runners['p1'].requests))
        stop(fleet, 'd1')

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(stop_first)
        reply = await ask_stream(fleet)
    assert (reply.status, reply.complete) == (200, True)
    assert not fleet.runners['d1'].requests
    (request,) = fleet.runners['d2'].requests
    assert 'kv-source' in request.headers
    assert fleet.runners['p1'].prefills['r1'] == 1
    (line,) = fleet.log.named('request placed anew')
    assert (line['runner'], line['new_runner']) == ('d1', 'd2')


@gateway_fleet.with_fleet
async def test_unsent_request_waits_if_no_other_runner_has_room(fleet):
    """Guards against a refusal although a place becomes free in time."""
    other = rejections.fill(fleet, 'd2', 48_400)
    fleet.runners['p1'].options.work_s = 0.3

    async def stop_first():
        await fleet.wait_for(lambda: bool(fleet.runners['p1'].requests))
        back_off(fleet, 'd1')
        await anyio.sleep(0.4)
        other.tokens = other.in_flight = 0

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(stop_first)
        reply = await ask_stream(fleet)
    assert (reply.status, reply.complete) == (200, True)
    assert not fleet.runners['d1'].requests
    assert not fleet.gateway.engine_uses()


def test_displaced_requests_go_first_of_their_priority():
    """Guards against a request that waits anew behind later ones.

    It also guards against one that goes before more urgent requests or before
    prompts that were prefilled.
    """

    def ticket(priority, arrived_at, **flags):
        rank = priorities.route_only(priority)
        return decode_places.Ticket(
            'llm', 100, rank, arrived_at, lambda _: 0.0, **flags
        )

    late, displaced = ticket(1, 1.0), ticket(1, 9.0, displaced=True)
    first, second = priorities.route_only(0), priorities.route_only(1)
    urgent = decode_places.Ticket('llm', 9, first, 9.5, lambda _: 99.0)
    equal = decode_places.Ticket('llm', 9, second, 2.0, lambda _: 99.0)
    prefilled = ticket(3, 9.9, prefilled=True, displaced=True)
    tickets = [late, equal, displaced, urgent, prefilled]
    assert sorted(tickets, key=lambda t: t.rank(10.0)) == [
        prefilled,
        urgent,
        displaced,
        equal,
        late,
    ]


@pytest.mark.parametrize(
    ('name', 'path', 'other'),
    [
        ('s1', '/file/1', 's2'),
        ('p1', '/once/1', 'p2'),
        ('d1', '/once/1', 'd2'),
    ],
)
@gateway_fleet.with_fleet
async def test_connection_is_not_used_once_its_runner_stops(
    fleet, name, path, other, monkeypatch
):
    """Guards against a request that is sent as its connection is open."""
    connect = http.connect
    await fleet.add_runner('p2', 'llm', 'prefill')
    table = fleet.gateway._context.runners
    await fleet.wait_for(lambda: table.get('p2') is not None)
    table.get('p2').slowness = 1.5
    for preferred in ('s1', 'd1'):
        leaving.prefer(fleet, preferred)
    address = table.get(name).listing.address

    async def connect_and_stop(target, *options):
        connection = await connect(target, *options)
        if target == address:
            back_off(fleet, name)
        return connection

    monkeypatch.setattr(http, 'connect', connect_and_stop)
    reply = await ask_stream(fleet, path=path)
    assert (reply.status, reply.complete) == (200, True)
    assert not fleet.runners[name].requests
    assert fleet.runners[other].requests
