"""Chooses between a prefill runner and prefill at the decode runner.

Pattern: least expected completion time. A prefill runner processes one prompt
after the other at full speed. A decode runner processes prompts at half the
speed between the tokens of its streams, and delays these streams.
"""

from collections.abc import Collection

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.routing import _ledger as ledger_module
from primrosereel.routing import _prefill_speed as prefill_speed
from primrosereel.routing import _runner_speeds as runner_speeds
from primrosereel.routing import _runners as runners

__all__ = ['PrefillPlan', 'local_prefill_s']

# Prefill at a decode runner takes twice as long. The penalty is added to its
# expected time because it delays all streams of that runner.
LOCAL_PREFILL_FACTOR = 2.0
LOCAL_PREFILL_PENALTY_S = 0.7


def local_prefill_s(
    tokens: int, token_s: float = prefill_speed.DEFAULT_TOKEN_S
) -> float:
    """Return how long prefill of the tokens takes at a decode runner."""
    return LOCAL_PREFILL_FACTOR * token_s * tokens


class PrefillPlan:
    """Chooses the prefill runner of a prompt."""

    def __init__(
        self,
        table: runners.RunnerTable,
        ledger: ledger_module.Ledger,
        availability_zone: ids.AvailabilityZone,
        speeds: runner_speeds.RunnerSpeeds | None = None,
    ) -> None:
        self._table = table
        self._runner_speeds = speeds or runner_speeds.RunnerSpeeds(table)
        self._ledger = ledger
        self._availability_zone = availability_zone
        self._speeds: dict[ids.ServiceId, prefill_speed.PrefillSpeed] = {}

    def speed(self, service: ids.ServiceId) -> prefill_speed.PrefillSpeed:
        """Return the observed speed of a service's prefill runners."""
        return self._speeds.setdefault(service, prefill_speed.PrefillSpeed())

    def expected_prefill_s(
        self, runner: runners.Runner, tokens: int, tokens_ahead: int
    ) -> float:
        """Return the expected time until a prefill runner ends a new prompt.

        ``tokens_ahead`` is the number of prompt tokens queued before it.
        """
        return self.speed(runner.listing.service).expected_s(
            tokens + tokens_ahead, runner.slowness
        )

    def observe_prefill(
        self,
        runner: runners.Runner,
        tokens: int,
        tokens_ahead: int,
        seconds: float,
        now: float,
    ) -> None:
        """Update the speed and the runner's slowness from a prefill.

        Runners are compared only once the service's usual speed is known;
        against the assumed speed, all would look equally slow or fast.
        """
        speed = self.speed(runner.listing.service)
        work = max(1, tokens + tokens_ahead)
        if speed.is_known:
            self._runner_speeds.observe(
                runner.runner_id,
                runner_speeds.Phase.PREFILL,
                speed.token_s * work,
                seconds - speed.fixed_s,
                now,
            )
        speed.observe(work, seconds)

    def tokens_ahead(self, runner: runners.Runner, now: float) -> int:
        """Return the prompt tokens that are queued at a prefill runner."""
        return (
            runner.tokens + self._ledger.peer_use(runner.runner_id, now).tokens
        )

    def expected_s(
        self, service: ids.ServiceId, tokens: int, now: float
    ) -> float:
        """Return the expected duration of a prompt's prefill."""
        candidates = self._available_prefill(service, now)
        if candidates:
            return min(
                self.expected_prefill_s(
                    runner, tokens, self.tokens_ahead(runner, now)
                )
                for runner in candidates
            )
        least_tokens = min(
            (
                self._local_prefill_tokens(runner, now)
                for runner in self._table.ready(
                    service, states.Role.DECODE, now
                )
            ),
            default=0,
        )
        speed = self.speed(service)
        return speed.fixed_s + local_prefill_s(
            least_tokens + tokens, speed.token_s
        )

    def _local_prefill_tokens(self, decode: runners.Runner, now: float) -> int:
        """Return the prompt tokens that a decode runner prefills itself."""
        return (
            decode.local_prefill_tokens
            + self._ledger.peer_use(decode.runner_id, now).local_prefill_tokens
        )

    def _available_prefill(
        self,
        service: ids.ServiceId,
        now: float,
        excluded: Collection[ids.RunnerId] = (),
    ) -> list[runners.Runner]:
        ready = self._table.ready(service, states.Role.PREFILL, now, excluded)
        available = [runner for runner in ready if runner.is_available(now)]
        return self._table.preferred(available, now)

    def choose(
        self,
        decode: runners.Runner,
        tokens: int,
        now: float,
        excluded: Collection[ids.RunnerId] = (),
    ) -> runners.Runner | None:
        """Return the prefill runner; None for prefill at the decode runner."""
        candidates = self._available_prefill(
            decode.listing.service, now, excluded
        )
        if not candidates:
            return None
        best = min(
            candidates,
            key=lambda runner: self._cost(runner, decode, tokens, now),
        )
        speed = self.speed(decode.listing.service)
        local_s = speed.fixed_s + local_prefill_s(
            self._local_prefill_tokens(decode, now) + tokens,
            decode.decode_slowness * speed.token_s,
        )
        expected_s = self.expected_prefill_s(
            best, tokens, self.tokens_ahead(best, now)
        )
        return (
            best if expected_s <= local_s + LOCAL_PREFILL_PENALTY_S else None
        )

    def _cost(
        self,
        runner: runners.Runner,
        decode: runners.Runner,
        tokens: int,
        now: float,
    ) -> float:
        cost = self.expected_prefill_s(
            runner, tokens, self.tokens_ahead(runner, now)
        )
        if (
            runner.listing.availability_zone
            != decode.listing.availability_zone
        ):
            # A KV cache transfer between zones takes twice as long and costs
            # more.
            cost += 0.01
        return cost
