"""Steps that run the tool and the daemon, in this process if possible."""

import contextlib
import io
import json
import pathlib
import re
import signal
import subprocess
import sys
import tempfile

from behave import given
from behave import then
from behave import when
import httpx

from primrosereel.bench import _ports as ports_module
from primrosereel.cmd import daemon
from primrosereel.cmd import tool

PROGRAMS = {'primrosereel': tool.main, 'primrosereeld': daemon.main}
EXAMPLES = pathlib.Path('examples')
# Bounds the wait for a process, so that a hung one fails the test.
PROCESS_TIMEOUT_S = 60


def _temporary_folder(context):
    if not hasattr(context, 'tool_folder'):
        folder = tempfile.TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        context.tool_folder = pathlib.Path(folder.name)
    return context.tool_folder


@given(
    'tool: the file "{name}" is {source} with "{old}" changed to "{new}" '
    'and "{second}" to "{other}"'
)
def write_file(context, name, source, old, new, second, other):
    """Write a file that has faults."""
    body = pathlib.Path(source).read_text()
    assert old in body and second in body
    body = body.replace(old, new).replace(second, other)
    (_temporary_folder(context) / name).write_text(body)


@when('tool: "{command}" runs')
def run(context, command):
    """Call a program's main function."""
    program, *words = command.split()
    bad = str(_temporary_folder(context) / 'bad.json5')
    words = [bad if word == 'bad.json5' else word for word in words]
    output = io.StringIO()
    with (
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(output),
    ):
        context.status = PROGRAMS[program](words)
    context.output = output.getvalue()


@then('tool: it ends with status {status:d}')
def check_status(context, status):
    """Compare the exit status."""
    assert context.status == status, (context.status, context.output)


@then('tool: it ends with status {status:d} and prints nothing')
def check_silent(context, status):
    """Compare the exit status and check that there is no output."""
    assert (context.status, context.output) == (status, '')


@then('tool: it prints "{text}"')
def check_output(context, text):
    """Check that the output contains the text."""
    assert text in context.output, context.output


def _start(context, *words):
    process = subprocess.Popen(
        [sys.executable, '-m', 'primrosereel.cmd.tool', *words],
        stdout=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(process.stdout.close)
    context.add_cleanup(_terminate, process)
    return process


def _terminate(process):
    if process.poll() is None:
        process.terminate()
        process.wait(PROCESS_TIMEOUT_S)


@when('tool: the stand-in "{kind}" is started by the tool')
def start_standin(context, kind):
    """Start the command as a process."""
    context.process = _start(context, 'standin', kind)


@then('tool: it prints its address and stops at SIGTERM')
def check_standin(context):
    """Call the address on the first line, then stop the process."""
    address = json.loads(context.process.stdout.readline())['listening']
    response = httpx.get(f'http://{address}/v1/load')
    assert response.status_code == 200, response
    context.process.send_signal(signal.SIGTERM)
    assert context.process.wait(PROCESS_TIMEOUT_S) == 0


@given(
    'tool: a copy of the example "{user}" with {count:d} instances on free '
    'ports'
)
def copy_example(context, user, count):
    """Copy an example and give a free port to each of its addresses."""
    ports = {}

    def replace_address(match):
        return ports.setdefault(
            match[0], f'127.0.0.1:{ports_module.free_port()}'
        )

    target = _temporary_folder(context) / user
    (target / 'settings').mkdir(parents=True)
    names = ['text.json5']
    names += [f'settings/entry-{n + 1}.json5' for n in range(count)]
    for name in names:
        body = (EXAMPLES / user / name).read_text()
        body = re.sub(r'127\.0\.0\.1:\d+', replace_address, body)
        (target / name).write_text(body)
    assert len(set(ports.values())) == len(ports)
    context.ports = ports
    context.example = target


@when('tool: the copy is run until a completion is answered')
def run_example(context):
    """Run the command and send one request to each instance."""
    context.process = _start(
        context, 'run-example', str(context.example), '--json'
    )
    output_lines = []
    while not output_lines or output_lines[-1].rstrip() != '}':
        output_lines.append(context.process.stdout.readline())
        assert output_lines[-1], 'the command ended'
    for url in json.loads(''.join(output_lines)).values():
        completion = httpx.post(
            f'{url}/v1/completions',
            headers={'authorization': 'Bearer demo-grid-operators'},
            json={'model': 'log-analyst', 'prompt': 'x', 'max_tokens': 2},
            timeout=PROCESS_TIMEOUT_S,
        )
        assert completion.status_code == 200, completion.text
        assert completion.json()['usage']['completion_tokens'] == 2


@then('tool: at SIGTERM it ends with status 0 and none of its ports answers')
def stop_example(context):
    """Stop the command and check that its processes have ended."""
    context.process.send_signal(signal.SIGTERM)
    assert context.process.wait(PROCESS_TIMEOUT_S) == 0
    for address in context.ports.values():
        try:
            httpx.get(f'http://{address}/')
        except httpx.ConnectError:
            continue
        raise AssertionError(f'{address} still answers')
