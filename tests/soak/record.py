"""The records of a soak run, on which the checks work."""

import collections
import datetime
import json

from tests.soak import processes as processes_module

__all__ = ['Record', 'Violation', 'violation']

Violation = collections.namedtuple('Violation', 'text request_id')


class Record:
    """Everything that a run has recorded."""

    def __init__(
        self, callers, operator, runners, links, processes, clock_offset_s
    ):
        self.attempts = {a.request_id: a for a in callers.attempts}
        self.unasked = callers.unasked
        self.operator = operator
        self.runners = runners
        self.links = links
        self.processes = processes
        # What the clock of the logs is ahead of the event loop's clock.
        self._clock_offset_s = clock_offset_s

    def arrivals(self):
        """Yield the requests that reached runners, each with its runner."""
        for name, runner in self.runners.items():
            for arrival in runner.arrivals:
                if arrival.is_request:
                    yield name, arrival

    def attempted_arrivals(self):
        """Yield runner, arrival and caller's attempt, in order of time."""
        for name, arrival in sorted(
            self.arrivals(), key=lambda item: item[1].at
        ):
            if arrival.request_id in self.attempts:
                yield name, arrival, self.attempts[arrival.request_id]

    def move_targets(self, request_id):
        """Return the runners to which a stream was moved or copied."""
        moves = [
            move
            for runner in self.runners.values()
            for move in runner.moves
            if move['id'] == request_id
        ]
        return {
            name
            for name, runner in self.runners.items()
            for move in moves
            if move['to'].endswith(f':{self._port(name)}')
        }

    def _port(self, name):
        link = self.links.get(name)
        return (link or self.runners[name].server).port

    def link_disturbed(self, runner, start, end):
        link = self.links.get(runner)
        return link is not None and link.disturbed.overlap(start, end)

    def in_touch(self, process, at):
        """Return whether a process and its way to the store were calm."""
        start = at - processes_module.STABLE_WINDOW_S
        return (
            process.runs_calmly(start, at)
            and not process.store_link.disturbed.overlap(start, at)
            and not self.operator.disturbed.overlap(start, at)
        )

    def all_restarted_at(self):
        """Return the starts around which no other process ran calmly.

        Nobody can have told the new process what the fleet had learned.
        """
        window_s = processes_module.STABLE_WINDOW_S
        return [
            start
            for process in self.processes
            for start in process.starts
            if not any(
                other.runs_calmly(start - window_s, start + window_s)
                for other in self.processes
                if other is not process
            )
        ]

    def log_events(self, process):
        """Yield the lines of a process's log, each with its time."""
        for line in process.log.read_text().splitlines():
            try:
                event = json.loads(line)
            except json.JSONDecodeError:
                # A killed process may leave an incomplete last line.
                continue
            at = datetime.datetime.fromisoformat(event['timestamp'])
            yield at.timestamp() - self._clock_offset_s, event

    def log_lines(self, request_id):
        """Return the lines about a request in the logs of all processes."""
        return [
            f'{at:.3f} {process.host} {event}'
            for process in self.processes
            for at, event in self.log_events(process)
            if request_id and event.get('request') == request_id
        ]

    def store_regained_at(self, process):
        """Return when a process noticed that it had the store again."""
        return [
            at
            for at, event in self.log_events(process)
            if event['event'] == 'store regained'
        ]


def violation(attempt, text):
    """Return a violation by the answer to a request, or by its treatment."""
    return Violation(
        f'{attempt.path} {attempt.request_id} at {attempt.process.host}: '
        f'{text}',
        attempt.request_id,
    )
