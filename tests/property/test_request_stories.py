"""The three failed requests of the operations page, run and explained."""

import json
import pathlib

import anyio
import pytest

from primrosereel.cmd import _request_log as request_log
from primrosereel.cmd import tool
from primrosereel.standin import _listed_runner as listed_runner
from tests import gateway_fleet
from tests.property import test_gateway_accounts

Fault = listed_runner.Fault
PAGE = pathlib.Path(__file__).resolve().parents[2] / 'docs' / 'OPERATIONS.md'
STREAM = {'method': 'POST', 'Token_Usage': '45000,10', 'Deadline_Ms': 4000}


def test_explain_finds_the_lines_of_daemons():
    """Guards against an empty story of a request that a daemon served.

    Daemons log the id as ``request_id`` and the gateway as ``request``.
    """
    lines = [
        {'event': 'answered', 'request_id': 'n1.1.1', 'timestamp': '2'},
        {'event': 'accepted', 'request_id': 'n1.1.1', 'timestamp': '1'},
        {'event': 'accepted', 'request_id': 'n1.1.2', 'timestamp': '1'},
    ]
    selected = request_log.request_lines(lines, 'n1.1.1')
    assert [line['event'] for line in selected] == ['accepted', 'answered']
    line = lines[0] | {'exception': 'Traceback', 'reason': 'deadline'}
    assert request_log.format_line(line) == '2 -: answered: reason deadline'


def test_explain_finds_the_lines_of_a_runner():
    """Guards against a runner that gets nothing without an explanation."""
    lines = [
        {'event': 'runner gone', 'runner': 'd1', 'timestamp': '3'},
        {'event': 'served', 'request': 'n1', 'runner': 'd1', 'timestamp': '2'},
        {
            'event': 'runner availability changed',
            'runner': 'd1',
            'timestamp': '1',
        },
        {'event': 'runner gone', 'runner': 'd2', 'timestamp': '1'},
    ]
    selected = request_log.runner_lines(lines, 'd1')
    assert [line['timestamp'] for line in selected] == ['1', '3']


def test_explain_finds_the_lines_of_a_cause_of_crashes():
    """Guards against a refused request whose story nobody can put together.

    Its id differs each time that it comes; other requests' lines do not belong
    to it.
    """
    refused = {'event': 'refused', 'timestamp': '5'}
    lines = [
        refused | {'detail': 'plain_call k1: 2 crashes'},
        {'event': 'attempt failed', 'request_key': 'k1', 'timestamp': '1'},
        {'event': 'attempt failed', 'request_key': 'k2', 'timestamp': '1'},
        {
            'event': 'request suspected of a crash',
            'crashes': {'k1': 1},
            'timestamp': '2',
        },
        {'event': 'cause quarantined', 'key': 'k1', 'timestamp': '3'},
        {'event': 'causes cleared', 'causes': ['k1'], 'timestamp': '6'},
        refused | {'detail': 'plain_call k11: 2 crashes'},
    ]
    selected = request_log.cause_lines(lines, 'k1')
    assert [line['timestamp'] for line in selected] == [*'12356']


async def no_capacity(fleet):
    for name in ('d1', 'd2'):
        row = fleet.gateway._context.runners.get(name)
        row.tokens, row.in_flight = 49_000, 7
    reply = await fleet.ask('/once/1', 'r1', **STREAM)
    assert reply.status == 503


async def broken_stream(fleet):
    for name in ('d1', 'd2'):
        fleet.runners[name].faults.append(Fault.BREAK_STREAM)
    reply = await fleet.ask('/once/1', 'r1', **STREAM)
    assert not reply.complete


async def silent_filing(fleet):
    for name in ('s1', 's2'):
        fleet.runners[name].faults.append(Fault.SILENT)
    reply = await fleet.ask('/file/1', 'r1', method='POST')
    assert reply.status == 504


async def unknown_key(fleet):
    await test_gateway_accounts.use_accounts(fleet)
    headers = {'Authorization': 'Token unknown'}
    assert (await fleet.ask('/read/1', 'r1', **headers)).status == 401


async def known_key(fleet):
    await test_gateway_accounts.use_accounts(fleet)
    headers = {'Authorization': test_gateway_accounts.TOKEN}
    assert (await fleet.ask('/read/1', 'r1', **headers)).status == 200


@pytest.mark.parametrize(
    ('scenario', 'told'),
    [
        (no_capacity, ['refused', 'reason no_capacity', 'status 503', 'wait']),
        (
            broken_stream,
            [
                'attempt failed',
                'reason stream_broken',
                'reason upstream_failed',
                'status 502',
                'stream cut',
            ],
        ),
        (
            silent_filing,
            ['reason upstream_timeout', 'status 504', 'attempts 1'],
        ),
        (
            unknown_key,
            ['reason unauthenticated', 'status 401', 'key_fields 1'],
        ),
        (known_key, ['served', 'account acme']),
    ],
)
def test_explain_prints_the_cause_of_a_failed_request(
    scenario, told, tmp_path, capsys
):
    """Guards against a failed request whose id does not lead to its cause."""
    log = gateway_fleet.ListLog()

    async def main():
        with anyio.fail_after(20):
            async with gateway_fleet.fleet() as fleet:
                await fleet.ask('/read/1', 'other')
                await scenario(fleet)
                log.lines = fleet.log.lines

    anyio.run(main)
    lines_by_file = log.lines[::2], log.lines[1::2]
    arguments = ['explain', 'r1']
    for number, lines in enumerate(lines_by_file):
        path = tmp_path / f'{number}.log'
        path.write_text(
            ''.join(
                json.dumps(line | {'timestamp': log.lines.index(line)}) + '\n'
                for line in lines
            )
            + 'not a log line\n'
        )
        arguments += ['--log', str(path)]
    assert tool.main(arguments) == 0
    printed = capsys.readouterr().out
    for text in told:
        assert text in printed
        listed = text in ('wait', 'account acme')
        assert listed or text.split()[-1] in PAGE.read_text()
    assert 'other' not in printed


def test_explain_fails_for_an_unknown_id(tmp_path):
    """Guards against a zero exit status for an id without log lines."""
    path = tmp_path / 'empty.log'
    path.write_text('')
    assert tool.main(['explain', 'r1', '--log', str(path)]) == 1
