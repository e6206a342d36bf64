"""Estimates how long a stream can be paused and still meet its gap target.

The token gap target applies to the mean gap of a stream. A decode step is
shorter than the target, so a running stream earns slack with each token. The
owner does not see the tokens; it estimates their number from the time the
stream has run.
"""

from collections.abc import Iterable
import math

from primrosereel.core import _capacity_ledger as capacity_ledger
from primrosereel.text import _model as text_model

__all__ = ['SlackEstimator']

# The rest of the slack is a margin: steps vary in length, and the first tokens
# after a resumption are late.
USABLE_SLACK_SHARE = 0.85
# Time to resume a stream: messages both ways, the transfer of the KV cache and
# the step in progress.
RESUME_DELAY_S = 0.25

Phase = capacity_ledger.Phase


class SlackEstimator:
    """Estimates slack and stream ends for one service."""

    def __init__(
        self, service: text_model.Service, model: text_model.Model
    ) -> None:
        self._gap_s = service.token_gap_s
        self._step_s = model.decode_step_s

    def latest_resume(
        self,
        stream: capacity_ledger.Reservation,
        runner: capacity_ledger.DecodeRunner,
        now: float,
    ) -> float:
        """Return the latest time to resume a stream within its gap target.

        The mean gap up to the next token then meets the target, even if the
        stream ends before its ``max_tokens``.
        """
        if stream.first_token_at is None:
            return -math.inf
        tokens = stream.total_decode_s(now) / self._observed_step_s(
            runner, now
        )
        earned_s = tokens * self._gap_s * USABLE_SLACK_SHARE
        return stream.first_token_at + earned_s - RESUME_DELAY_S

    def can_resume_in_time(
        self,
        runner: capacity_ledger.DecodeRunner,
        paused: Iterable[capacity_ledger.Reservation],
        running: Iterable[capacity_ledger.Reservation],
        now: float,
    ) -> bool:
        """Return whether running streams end early enough for the paused ones.

        Each paused stream, those with the least slack first, is assigned the
        places and pieces of the next running streams to end. A yielded stream
        must get them before its slack runs out.
        """
        ends = sorted(
            (self._estimated_end(stream, runner, now), stream.pieces)
            for stream in running
            if stream.phase is Phase.DECODE and stream.max_tokens
        )
        next_ends = iter(ends)
        places = pieces = 0
        end = now
        for due, stream in self._by_latest_resume(runner, paused, now):
            while places < 1 or pieces < stream.pieces:
                ending = next(next_ends, None)
                if ending is None:
                    return False
                end = max(end, ending[0])
                places += 1
                pieces += ending[1]
            if stream.yielded and end > due:
                return False
            places -= 1
            pieces -= stream.pieces
        return True

    def _by_latest_resume(
        self,
        runner: capacity_ledger.DecodeRunner,
        paused: Iterable[capacity_ledger.Reservation],
        now: float,
    ) -> list[tuple[float, capacity_ledger.Reservation]]:
        streams_by_due = [
            (
                self.latest_resume(stream, runner, now)
                if stream.yielded
                else -math.inf,
                stream,
            )
            for stream in paused
        ]
        return sorted(
            streams_by_due, key=lambda item: (item[0], item[1].request_id)
        )

    def _estimated_end(
        self,
        stream: capacity_ledger.Reservation,
        runner: capacity_ledger.DecodeRunner,
        now: float,
    ) -> float:
        total_s = stream.max_tokens * self._observed_step_s(runner, now)
        return now + max(0.0, total_s - stream.total_decode_s(now))

    def _observed_step_s(
        self, runner: capacity_ledger.DecodeRunner, now: float
    ) -> float:
        return max(self._step_s, runner.gap_s(now))
