"""Stand-ins and helpers of the cases in ``review/``; standard library only.

It has a store, a runner, a client, and a launcher that starts the gateway
with the command of ``deploy/system.toml``. All of them speak what the users'
``PROTOCOL.md`` says and use loopback addresses and free ports only.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'review.example'
TROUBLE = os.environ.get('TROUBLE', '1') != '0'

HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """The lines of ``record.txt``: what was sent, answered and run."""

    def __init__(self, folder):
        self._started = time.monotonic()
        path = pathlib.Path(folder) / 'record.txt'
        self._file = path.open('w')
        self.line('trouble', on=TROUBLE)

    def line(self, event, **fields):
        at = time.monotonic() - self._started
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        line = f'{at:8.3f} {event} {text}'.rstrip()
        print(line, file=self._file, flush=True)
        print(line, flush=True)


def free_port(host='127.0.0.1'):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


# HTTP


async def read_head(reader):
    """Return the first line and the headers with lower-case names."""
    data = await reader.readuntil(b'\r\n\r\n')
    lines = data.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(':')
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Request:
    def __init__(self, first_line, headers, body):
        self.method, self.target, _ = first_line.split(' ', 2)
        self.headers, self.body = headers, body
        self.path, _, self.query = self.target.partition('?')

    @property
    def request_id(self):
        return self.headers.get('request-id', '')


async def read_request(reader):
    first_line, headers = await read_head(reader)
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while size := int((await reader.readline()).split(b';')[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    else:
        length = int(headers.get('content-length', '0'))
        body = await reader.readexactly(length) if length else b''
    return Request(first_line, headers, body)


def answer(status, headers=(), body=b'', reason='OK'):
    lines = [f'HTTP/1.1 {status} {reason}']
    lines += [f'{name}: {value}' for name, value in headers]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def reset(writer):
    """Close a connection with a TCP reset."""
    raw = writer.get_extra_info('socket')
    with contextlib.suppress(OSError):
        raw.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    writer.transport.abort()


class Server:
    """An HTTP server; subclasses write the answer in ``serve``."""

    host = '127.0.0.1'

    async def start(self, port=0):
        self._writers = set()
        self._server = await asyncio.start_server(
            self._connection, self.host, port
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f'{self.host}:{self.port}'

    async def stop(self):
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _connection(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if await self.serve(request, reader, writer) is False:
                    break
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            ConnectionError,
            asyncio.LimitOverrunError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(self, request, reader, writer):
        raise NotImplementedError


# The platform


class Store(Server):
    """The metadata store: ranges and watches of linearizable items."""

    def __init__(self, record):
        self._record = record
        self._revision = 1
        self._items = {}
        self._history = []
        self._changed = asyncio.Event()

    def put(self, key, value):
        self._revision += 1
        data = base64.b64encode(json.dumps(value).encode()).decode()
        item = {
            'key': key,
            'value': data,
            'revision': self._revision,
            'created': self._revision,
            'lease': 0,
        }
        self._items[key] = item
        self._write(item)
        self._record.line('store accepts', key=key, revision=self._revision)

    def delete(self, key):
        self._revision += 1
        self._items.pop(key, None)
        self._write({'key': key, 'revision': self._revision, 'deleted': True})
        self._record.line('store removes', key=key, revision=self._revision)

    def _write(self, item):
        self._history.append(item)
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, request, reader, writer):
        query = dict(urllib.parse.parse_qsl(request.query))
        if request.path == '/v1/kv-range':
            prefix, after = query.get('prefix', ''), query.get('after', '')
            keys = sorted(
                k for k in self._items if k.startswith(prefix) and k > after
            )
            body = {
                'items': [self._items[k] for k in keys],
                'hasMore': False,
                'at': self._revision,
            }
        elif request.path == '/v1/kv-watch':
            body = await self._watch(query)
        else:
            writer.write(answer(404))
            return
        writer.write(
            answer(
                200,
                [('Content-Type', 'application/json')],
                json.dumps(body).encode(),
            )
        )

    async def _watch(self, query):
        after, prefix = int(query['after']), query.get('prefix', '')
        until = time.monotonic() + int(query['waitMs']) / 1000
        while True:
            events = [
                e
                for e in self._history
                if e['revision'] > after and e['key'].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return {'events': events, 'at': self._revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)


def route(name, kind, service, timeout_ms, attempts=1, **more):
    return {
        'name': name,
        'host': HOST,
        'prefix': f'/{name}/',
        'routeType': kind,
        'timeoutMs': timeout_ms,
        'targetLatencyMs': 900 if kind == 'streaming' else 300,
        'priority': 1,
        'service': service,
        'maxAttempts': attempts,
        'sticky': kind == 'streaming',
        'resumable': False,
    } | more


ENGINE = {
    'slots': 64,
    'kvCacheTokens': 57728,
    'kvTokenBytes': 35136,
    'linkMbps': 740000.0,
    'moves': True,
    'backups': True,
    'handleTtlS': 0.5,
    'stageSwitchS': 6.0,
    'pinMs': 4000.0,
    'holdMs': 2000.0,
    'models': [{'name': 'm'}],
}


def service(name, engine=None, connections=360):
    entry = {
        'name': name,
        'healthPath': '/health',
        'maxConnections': connections,
        'protocol': 'h1',
        'tls': False,
    }
    return entry | ({'engine': engine} if engine else {})


def configuration(routes, services, version=7, **limits):
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        }
        | limits,
    }


# Runners


class Runner(Server):
    """A sound runner; ``stage`` is None, 'prefill' or 'decode'."""

    def __init__(self, record, name, service, stage=None):
        self.record, self.name = record, name
        self.service_name, self.stage = service, stage
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.runs = []
        self.handles = 0

    def entry(self, state='ready'):
        self.sequence += 1
        entry = {
            'service': self.service_name,
            'address': self.address,
            'zone': 'zone-a',
            'version': 'v1',
            'slots': 64 if self.stage else 6,
            'state': state,
            'coldRemainingMs': 0,
            'sequence': self.sequence,
            'born': self.born,
        }
        if self.stage:
            entry['stage'] = self.stage
            entry['models'] = [{'name': 'm', 'version': 1, 'adapters': []}]
        return entry

    def register(self, store, state='ready'):
        store.put(f'servers/{self.name}', self.entry(state))

    def headers(self, request):
        return [
            ('Request-Id', request.request_id),
            ('Instance-Signature', f'sig-{self.name}'),
            ('Keep-Alive', 'timeout=5'),
        ]

    async def serve(self, request, reader, writer):
        expected = request.headers.get('expect-instance')
        if expected not in (None, self.name):
            writer.write(answer(421, [('Instance-Id', self.name)]))
            return None
        if request.path == '/health':
            writer.write(answer(200, [('Instance-Id', self.name)]))
            return None
        if request.path.startswith('/v1/'):
            return await self.serve_control(request, reader, writer)
        if request.headers.get('stage') == 'prefill':
            return await self.serve_prefill(request, writer)
        if self.stage == 'prefill':
            writer.write(answer(421, [('Instance-Id', self.name)]))
            return None
        return await self.serve_run(request, reader, writer)

    async def serve_control(self, request, reader, writer):
        if request.method == 'DELETE':
            self.record.line('runner frees', runner=self.name, of=request.path)
            writer.write(answer(200))
        elif request.path == '/v1/order':
            writer.write(answer(202))
        else:
            writer.write(answer(404))

    async def serve_prefill(self, request, writer):
        if self.stage != 'prefill':
            writer.write(answer(421, [('Instance-Id', self.name)]))
            return
        self.handles += 1
        handle = f'{self.name}h{self.handles}'.replace('-', '')
        self.record.line(
            'runner prefills',
            runner=self.name,
            request=request.request_id,
            handle=handle,
        )
        body = json.dumps({'kvHandle': handle, 'tokens': 100, 'version': 1})
        writer.write(
            answer(
                200,
                [
                    ('Request-Id', request.request_id),
                    ('Content-Type', 'application/json'),
                ],
                body.encode(),
            )
        )

    def note_run(self, request):
        self.runs.append(request.request_id)
        self.record.line(
            'runner runs',
            runner=self.name,
            request=request.request_id,
            last_event_id=request.headers.get('last-event-id', '-'),
            kv_source=request.headers.get('kv-source', '-'),
        )

    async def serve_run(self, request, reader, writer):
        self.note_run(request)
        await asyncio.sleep(0.05)
        body = f'answer to {request.request_id}'.encode()
        writer.write(answer(200, self.headers(request), body))


# The system


class Gateway:
    """One process of the system, started as the deploy file says."""

    def __init__(self, record, folder, number, store, settings):
        self.record = record
        self.name = f'frontend-{number}'
        self.ip = f'127.0.0.{10 + number}'
        self.port = free_port(self.ip)
        self.ready_port = free_port(self.ip)
        self.settings = settings
        self.store = store
        self.path = pathlib.Path(folder) / f'{self.name}.toml'
        self.log_path = pathlib.Path(folder) / f'{self.name}.log'
        self.process = None

    def write_settings(self, peers_port, control_port, seeds, **changes):
        s = self.settings | changes
        seeds = ','.join(f'"{seed}"' for seed in seeds)
        self.path.write_text(
            f'nodeName = "{self.name}"\nrole = "gateway"\n'
            f'machineClass = "frontend"\n'
            f'serves = ["frontend","control_plane"]\nip = "{self.ip}"\n'
            f'zone = "zone-a"\nregion = "region"\n'
            f'internalPortRange = [{peers_port},{peers_port + 3}]\n'
            f'seeds = [{seeds}]\nbootstrap = true\nheartbeatMs = 1200\n'
            f'[zones]\nzone-a = "region"\n'
            f'[listen]\nfrontend = "{self.ip}:{self.port}"\n'
            f'ready = "{self.ip}:{self.ready_port}"\n'
            f'control = "{self.ip}:{control_port}"\n'
            f'[limits]\ncpuShare = 0.537\ncores = 2\n'
            f'memoryMb = {s["memoryMb"]}\nfileDescriptors = 4100\n'
            f'linkMbps = 1000.0\ndiskMb = 0\n'
            '[bounds]\nseedLagS = 3\nreuseAfterS = 2\n'
            'stableWindowMs = 3000\nackMs = 4000\ncatchUpS = 4\n'
            'drainMs = 2000\ngraceS = 8\nlossSlackMs = 200\n'
            'configApplyMs = 2000\nrollbackSlackMs = 250\n'
            'maxStretchMs = 5000\nretryBudgetRatio = 0.2\n'
            'budgetWindowS = 10\nretryBudgetSlack = 52\nrecoveryS = 12\n'
            'transitMs = 120\nreuseWindowS = 10\nfencingEnforced = true\n'
            'leaseMs = 3000\nthawMs = 300\n'
            f'[platform]\naddress = "{self.store.address}"\nform = "read"\n'
            'writesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\n'
            'valueBytes = 1048576\nttlMinMs = 1000\n'
        )

    def start(self):
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PRIMROSEREEL_CONFIG'] = str(self.path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        self.process = subprocess.Popen(
            [
                'python3',
                '-m',
                'primrosereel.cmd.gateway',
                '--metrics-port',
                str(free_port(self.ip)),
            ],
            cwd=ROOT,
            env=environment,
            stdout=self.log_path.open('ab'),
            stderr=subprocess.STDOUT,
        )
        self.record.line(
            'gateway starts', name=self.name, pid=self.process.pid
        )

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                self.ip, self.ready_port
            )
        except OSError:
            return False
        try:
            writer.write(b'GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n')
            line, _ = await asyncio.wait_for(read_head(reader), 1.0)
            return ' 200' in line
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()

    def kill(self, number=signal.SIGKILL):
        self.record.line('signal', name=self.name, signal=number.name)
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Fleet:
    """A store, runners and gateways; all is ended when the block is left."""

    def __init__(self, case_folder, gateways=1, memory_mb=300):
        self.record = Record(case_folder)
        self._folder = tempfile.mkdtemp(prefix='review-')
        self._count, self._memory_mb = gateways, memory_mb
        self._servers = []
        self.gateways = []

    async def __aenter__(self):
        self.store = await Store(self.record).start()
        self._servers.append(self.store)
        return self

    async def add(self, runner, state='ready'):
        await runner.start()
        self._servers.append(runner)
        runner.register(self.store, state)
        return runner

    async def prepare_gateways(self, seeds=3):
        """Write the settings; the first ``seeds`` gateways are seeds."""
        self._peers_port, self._control_port = free_port(), free_port()
        for number in range(1, self._count + 1):
            self.gateways.append(
                Gateway(
                    self.record,
                    self._folder,
                    number,
                    self.store,
                    {'memoryMb': self._memory_mb},
                )
            )
        for gateway in self.gateways:
            self.write_settings(gateway, self.gateways[:seeds])

    def write_settings(self, gateway, seeds):
        addresses = [f'{seed.ip}:{self._control_port}' for seed in seeds]
        gateway.write_settings(self._peers_port, self._control_port, addresses)

    async def start_gateways(self):
        await self.prepare_gateways()
        for gateway in self.gateways:
            gateway.start()
        await self.wait_ready(*self.gateways)

    async def wait_ready(self, *gateways):
        until = time.monotonic() + 25
        for gateway in gateways:
            while not await gateway.is_ready():
                if time.monotonic() > until:
                    raise RuntimeError(f'{gateway.name} is not ready')
                await asyncio.sleep(0.1)
            self.record.line('gateway is ready', name=gateway.name)

    async def __aexit__(self, *_):
        for gateway in self.gateways:
            gateway.end()
        for server in self._servers:
            await server.stop()
        if os.environ.get('KEEP_LOGS'):
            print('logs', self._folder)
        else:
            shutil.rmtree(self._folder, ignore_errors=True)


# Clients


class Reply:
    def __init__(self):
        self.status, self.headers, self.body = 0, {}, b''
        self.complete = False

    def __str__(self):
        return f'{self.status} complete={self.complete} {self.body!r}'


class Client:
    """One client's connection."""

    def __init__(self, gateway, record):
        self._gateway, self._record = gateway, record

    async def __aenter__(self):
        self.reader, self.writer = await asyncio.open_connection(
            self._gateway.ip, self._gateway.port, limit=2**24
        )
        return self

    async def __aexit__(self, *_):
        self.writer.close()

    async def send(self, method, target, request_id, body=b'', **headers):
        lines = [f'{method} {target} HTTP/1.1', f'Host: {HOST}']
        lines.append(f'Request-Id: {request_id}')
        lines += [f'{n.replace("_", "-")}: {v}' for n, v in headers.items()]
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        self._record.line(
            'client sends', request=request_id, to=target, body=len(body)
        )
        self.writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        await self.writer.drain()

    async def receive(self, request_id='', limit_s=20.0):
        """Return the answer as far as it comes; log it."""
        reply = Reply()
        with contextlib.suppress(
            asyncio.IncompleteReadError,
            ConnectionError,
            asyncio.TimeoutError,
        ):
            await asyncio.wait_for(self._receive(reply), limit_s)
        self._record.line(
            'client gets',
            request=request_id,
            status=reply.status,
            complete=reply.complete,
            signature=reply.headers.get('instance-signature', '-'),
            bytes=len(reply.body),
        )
        return reply

    async def _receive(self, reply):
        first, reply.headers = await read_head(self.reader)
        reply.status = int(first.split(' ')[1])
        if reply.headers.get('transfer-encoding', '').lower() == 'chunked':
            while size := int(await self._line(), 16):
                data = await self.reader.readexactly(size + 2)
                reply.body += data[:-2]
            await self._line()
        else:
            length = int(reply.headers.get('content-length', '0'))
            while len(reply.body) < length:
                data = await self.reader.read(length - len(reply.body))
                if not data:
                    return
                reply.body += data
        reply.complete = True

    async def _line(self):
        line = await self.reader.readline()
        if not line.endswith(b'\n'):
            raise asyncio.IncompleteReadError(line, None)
        return line.split(b';')[0].strip()


STREAM_HEADERS = {
    'Model': 'm',
    'Token_Usage': '1460,80',
    'Prompt_Prefix': '5c1e07a2:800,e4402b7d:660',
    'Deadline_Ms': 14000,
}


def run(main):
    """Run a case; exit with what it returns, or 2 if it could not run."""
    try:
        status = asyncio.run(asyncio.wait_for(main(), 115))
    except Exception as error:
        print(f'the case could not run: {error!r}', file=sys.stderr)
        status = NOT_RUN
    sys.exit(status)
