"""How long a stream can be paused and still meet its token gap target.

The target holds for the mean over a stream, and a decode step is shorter than
it, so a running stream earns slack with each token. The owner does not see
the tokens; it estimates them from the time the stream has run.
"""

from collections.abc import Iterable
import math

from primrosereel.core import _capacity_ledger as capacity_ledger
from primrosereel.text import _model as text_model

__all__ = ['Slack']

# A part of the slack is left, since steps vary and the first tokens after a
# resumption come late.
USED_SHARE = 0.85
# Messages both ways, the move of the KV cache and the step in progress.
RESUME_S = 0.25

Phase = capacity_ledger.Phase


class Slack:
    """Estimates for the streams of one service."""

    def __init__(
        self, service: text_model.Service, model: text_model.Model
    ) -> None:
        self._gap_s = service.token_gap_s
        self._step_s = model.decode_step_s

    def latest_resume(
        self,
        row: capacity_ledger.Reservation,
        runner: capacity_ledger.DecodeRunner,
        now: float,
    ) -> float:
        """Return until when a stream can be resumed without a late token.

        The mean gap up to the next token then still meets the target, also
        where the stream ends before its ``max_tokens``.
        """
        if row.first_token_at is None:
            return -math.inf
        tokens = row.total_decode_s(now) / self._step(runner, now)
        earned_s = tokens * self._gap_s * USED_SHARE
        return row.first_token_at + earned_s - RESUME_S

    def can_wait(
        self,
        runner: capacity_ledger.DecodeRunner,
        paused: Iterable[capacity_ledger.Reservation],
        running: Iterable[capacity_ledger.Reservation],
        now: float,
    ) -> bool:
        """Tell whether streams that will end make room for paused ones.

        Each paused stream, those without slack first, takes the place and
        pieces of the next running ones to end; it must have them in time.
        """
        ends = sorted(
            (self._end(row, runner, now), row.pieces)
            for row in running
            if row.phase is Phase.DECODE and row.max_tokens
        )
        following = iter(ends)
        places = pieces = 0
        end = now
        for due, row in self._by_due(runner, paused, now):
            while places < 1 or pieces < row.pieces:
                found = next(following, None)
                if found is None:
                    return False
                end = max(end, found[0])
                places += 1
                pieces += found[1]
            if row.yielded and end > due:
                return False
            places -= 1
            pieces -= row.pieces
        return True

    def _by_due(
        self,
        runner: capacity_ledger.DecodeRunner,
        paused: Iterable[capacity_ledger.Reservation],
        now: float,
    ) -> list[tuple[float, capacity_ledger.Reservation]]:
        found = [
            (
                self.latest_resume(row, runner, now)
                if row.yielded
                else -math.inf,
                row,
            )
            for row in paused
        ]
        return sorted(found, key=lambda p: (p[0], p[1].request_id))

    def _end(
        self,
        row: capacity_ledger.Reservation,
        runner: capacity_ledger.DecodeRunner,
        now: float,
    ) -> float:
        whole_s = row.max_tokens * self._step(runner, now)
        return now + max(0.0, whole_s - row.total_decode_s(now))

    def _step(self, runner: capacity_ledger.DecodeRunner, now: float) -> float:
        return max(self._step_s, runner.gap_s(now))
