"""A stream that was stopped for a move is ended as if it were complete."""

import asyncio
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))
import harness  # noqa: E402

EVENTS = 30
EVENT_S = 0.1
# Longer than usual, shorter than the time after which clients give up.
FIRST_EVENT_S = 2.6
# Copies wait for others on both links.
COPY_REST_S = 0.8
DOWN_S = 1.8


class Engine(harness.Runner):
    """A decode runner whose streams have no length.

    It copies its runs to other runners, and stops them, as PROTOCOL.md says.
    """

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.made = {}
        self.stopped = set()
        self.at_stop = None

    async def serve_run(self, request, reader, writer):
        name = request.request_id
        self.note_run(request)
        lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
        lines += [f'{n}: {v}' for n, v in self.headers(request)[:2]]
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        first = int(request.headers.get('last-event-id', '0')) + 1
        self.stopped.discard(name)
        if 'kv-source' not in request.headers:
            await asyncio.sleep(FIRST_EVENT_S)
        for number in range(first, EVENTS + 1):
            if name in self.stopped:
                self.record.line(
                    'runner closes the stopped stream',
                    runner=self.name,
                    request=name,
                    made=self.made[name],
                )
                return False
            self.made[name] = number
            writer.write(f'id: {number}\ndata: token {number}\n\n'.encode())
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        self.record.line('runner ends', runner=self.name, request=name)
        return False

    async def serve_control(self, request, reader, writer):
        if request.path != '/v1/kv-move':
            await super().serve_control(request, reader, writer)
            return
        move = json.loads(request.body)
        name, last = move['id'], move.get('last', False)
        status = 404
        if name in self.made and name not in self.stopped:
            if last:
                self.stopped.add(name)
                await self._copy_rest(move['to'])
            status = 200 if await is_reachable(move['to']) else 503
        self.record.line(
            'runner copies',
            runner=self.name,
            request=name,
            to=move['to'],
            last=last,
            answer=status,
        )
        body = {'kvHandle': 'c0ffee', 'created': self.made.get(name, 0)}
        writer.write(
            harness.answer(
                status,
                [('Content-Type', 'application/json')],
                json.dumps(body).encode() if status != 404 else b'',
            )
        )

    async def _copy_rest(self, address):
        """Copy what is new; the destination may crash meanwhile."""
        if self.at_stop is not None:
            at_stop, self.at_stop = self.at_stop, None
            asyncio.ensure_future(at_stop(address))
        await asyncio.sleep(COPY_REST_S)


async def is_reachable(address):
    host, _, port = address.rpartition(':')
    try:
        _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    writer.close()
    return True


async def main():
    async with harness.Fleet(FOLDER, gateways=2) as fleet:
        record = fleet.record
        fleet.store.put(
            'op/config',
            harness.configuration(
                [
                    harness.route(
                        'ask', 'streaming', 'llm', 14000, gapTargetMs=300
                    )
                ],
                [harness.service('llm', harness.ENGINE)],
            ),
        )
        source = await fleet.add(Engine(record, 'i-d1', 'llm', 'decode'))
        await fleet.start_gateways()
        await asyncio.sleep(1.0)
        clients = []
        for number in range(4):
            client = harness.Client(fleet.gateways[number % 2], record)
            await client.__aenter__()
            clients.append(client)
            await client.send(
                'POST',
                '/ask/1',
                f'stream-{number}',
                b'p' * 5000,
                **harness.STREAM_HEADERS,
            )
        await asyncio.sleep(0.2)
        # More runners are added, and the first one is to be taken away.
        others = [
            await fleet.add(Engine(record, f'i-d{n}', 'llm', 'decode'))
            for n in (2, 3, 4)
        ]

        async def crash(address):
            await asyncio.sleep(COPY_REST_S / 2)
            for other in others:
                if other.address == address:
                    record.line('runner crashes', runner=other.name)
                    await other.stop()
                    await asyncio.sleep(DOWN_S)
                    await other.start(other.port)
                    other.born = int(time.time() * 1000)
                    other.sequence = 0
                    other.register(fleet.store)
                    record.line('runner is back', runner=other.name)

        if harness.TROUBLE:
            source.at_stop = crash
        source.register(fleet.store, 'draining')
        broken = []
        for number, client in enumerate(clients):
            name = f'stream-{number}'
            reply = await client.receive(name)
            client.writer.close()
            pieces = reply.body.count(b'\n\n')
            record.line('pieces', request=name, got=pieces, of=EVENTS)
            if reply.status == 200 and reply.complete and pieces < EVENTS:
                record.line('ORDER broken', request=name)
                broken.append(name)
        return harness.BROKEN if broken else harness.HELD


harness.run(main)
