"""A runner in a process of its own, whose answers have no length.

``office.py NAME PORT HALF_S`` answers each call in two halves, HALF_S
seconds apart, and ends the answer with the connection, as RULES.md allows.
"""

import asyncio
import pathlib
import subprocess
import sys
import time

import harness

__all__ = ['OfficeProcess', 'halves']


def halves(request_id):
    """Return the two halves of the answer to a request."""
    first = f'certificate of {request_id}, first half;'.encode()
    return first, f' second half of {request_id}.'.encode()


class OfficeProcess(harness.Runner):
    """The store's and the script's view of a runner's process."""

    def __init__(self, record, name, half_s):
        super().__init__(record, name, 'office')
        self._half_s = half_s

    async def start(self, port=0):
        self.port = port or harness.free_port()
        self.process = subprocess.Popen(
            [
                sys.executable,
                str(pathlib.Path(__file__).resolve()),
                self.name,
                str(self.port),
                str(self._half_s),
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
        self.process.stdout.readline()
        return self

    def crash(self):
        """Kill the process and note what it ran."""
        self.record.line('runner crashes', runner=self.name)
        self.process.kill()
        self._end()

    async def restart(self):
        """Start the process again, as a new run under the same id."""
        await self.start(self.port)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.record.line('runner is back', runner=self.name)

    async def stop(self):
        if self.process.poll() is None:
            self.process.kill()
            self._end()

    def _end(self):
        self.process.wait()
        for line in self.process.stdout:
            self.record.line(line.strip())


class _PrintedRecord:
    """Prints lines, which the script copies into its record."""

    def line(self, event, **fields):
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        print(event, text, flush=True)


class _Office(harness.Runner):
    def __init__(self, name, half_s):
        super().__init__(_PrintedRecord(), name, 'office')
        self._half_s = half_s

    async def serve_run(self, request, reader, writer):
        self.note_run(request)
        first, second = halves(request.request_id)
        lines = ['HTTP/1.1 200 OK', 'Connection: close']
        lines += [f'{n}: {v}' for n, v in self.headers(request)[:2]]
        await asyncio.sleep(0.05)
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + first)
        await writer.drain()
        await asyncio.sleep(self._half_s)
        writer.write(second)
        await writer.drain()
        return False


async def _main():
    name, port, half_s = sys.argv[1:]
    await _Office(name, float(half_s)).start(int(port))
    print('listening', flush=True)
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(_main())
