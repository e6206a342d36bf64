"""One runner: its listing, and this instance's observations of it."""

import dataclasses
import math

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel.routing import _availability as availability_module
from primrosereel.routing import _model as model
from primrosereel.routing import _request_costs as request_costs
from primrosereel.routing import _timeouts as timeouts

__all__ = ['Runner']

# Half-life of the number of peers' requests that a load report implied.
PLAIN_REPORT_HALF_LIFE_S = 0.3
ENGINE_REPORT_HALF_LIFE_S = 1.0

# How long a runner is suspect after a failure; doubled with each further one.
MIN_SUSPECT_S = 0.5
MAX_SUSPECT_S = 4.0
# Consecutive failures after which a suspect runner counts as down.
DOWN_FAILURES = 2
# How long a runner is suspect if another runner responds at its address.
REPLACED_SUSPECT_S = 30.0

# How long a runner counts as full after it rejected a request; doubled with
# each further rejection.
MIN_FULL_S = 0.25
MAX_FULL_S = 3.0

# How long another runner is preferred to one that did not answer in time.
SILENT_S = 0.5

# Weight of a new observation in a runner's moving averages.
LATENCY_SAMPLE_WEIGHT = 0.3
FAILURE_SAMPLE_WEIGHT = 0.25
PEER_REQUESTS_SAMPLE_WEIGHT = 0.1


@dataclasses.dataclass(slots=True)
class Runner:
    """A runner's listing, and this instance's observations of it."""

    listing: model.RunnerListing
    # Whether it takes new requests; shared with the table of availability.
    availability: availability_module.AvailabilityRecord = dataclasses.field(
        default_factory=availability_module.AvailabilityRecord
    )
    in_flight: int = 0
    # Tokens of own requests: reserved KV cache memory at a decode runner,
    # unfinished prompt tokens at a prefill runner.
    tokens: int = 0
    # Prompt tokens of own requests that this decode runner prefills itself.
    local_prefill_tokens: int = 0
    report: model.LoadReport | None = None
    reported_at: float = -math.inf
    peer_requests: float = 0.0
    # Moving average of other instances' requests over all reports.
    mean_peer_requests: float = 0.0
    # Own plain calls in progress.
    calls: list[request_costs.CallInProgress] = dataclasses.field(
        default_factory=list
    )
    latency_s: float | None = None
    # Time per unit of work, relative to a typical runner: for prompts and
    # plain calls, and for the events of streams.
    slowness: float = 1.0
    decode_slowness: float = 1.0
    failure_rate: float = 0.0
    failures: int = 0
    # When the first of these consecutive failures was observed.
    failing_since: float = math.inf
    rejections: int = 0
    suspect_until: float = -math.inf
    full_until: float = -math.inf
    # When the runner last answered, and since and until when it counts as
    # silent.
    answered_at: float = -math.inf
    silent_since: float = -math.inf
    silent_until: float = -math.inf

    @property
    def runner_id(self) -> ids.RunnerId:
        """The runner's id."""
        return self.listing.runner

    @property
    def idle(self) -> bool:
        """Whether the last load report showed no requests."""
        report = self.report
        return report is not None and report.running + report.waiting == 0

    def estimated_requests(self, now: float) -> float:
        """Return the estimated number of requests at the runner."""
        return self.in_flight + self.peer_requests_now(now)

    def peer_requests_now(self, now: float) -> float:
        """Return the estimated number of other instances' requests."""
        half_life = ENGINE_REPORT_HALF_LIFE_S
        if self.listing.role is states.Role.PLAIN:
            half_life = PLAIN_REPORT_HALF_LIFE_S
        age = max(0.0, now - self.reported_at)
        return self.peer_requests * 0.5 ** (age / half_life)

    def is_suspect(self, now: float) -> bool:
        """Tell whether the runner failed recently and should be avoided."""
        return now < self.suspect_until

    def is_down(self, now: float) -> bool:
        """Tell whether the runner is suspect after repeated failures."""
        return self.failures >= DOWN_FAILURES and self.is_suspect(now)

    def is_available(self, now: float) -> bool:
        """Tell whether the runner is not suspect, full or silent."""
        return (
            now >= self.suspect_until
            and now >= self.full_until
            and now >= self.silent_until
        )

    def observe_report(
        self, report: model.LoadReport | None, now: float
    ) -> None:
        """Record the load report of a response."""
        if report is None:
            return
        self.report = report
        self.reported_at = now
        total = report.running + report.waiting
        self.peer_requests = max(0.0, total - self.in_flight)
        self.mean_peer_requests += PEER_REQUESTS_SAMPLE_WEIGHT * (
            self.peer_requests - self.mean_peer_requests
        )

    def observe_answer(self, now: float) -> None:
        """Record that the runner answered, whatever the answer is."""
        self.answered_at = now
        self.silent_until = -math.inf

    def observe_silence(self, since: float, now: float) -> None:
        """Record that the runner did not answer a request sent at ``since``.

        A sound runner may be silent for about a second. The silences of
        requests that follow each other are one, and a longer one is a failure.
        """
        if self.silent_since <= self.answered_at or (
            since > self.silent_until + timeouts.SOUND_SILENCE_S
        ):
            self.silent_since = max(since, self.answered_at)
        self.silent_until = now + SILENT_S
        if now - self.silent_since >= timeouts.SOUND_SILENCE_S:
            self.observe_failure(now)

    def observe_success(self, seconds: float, now: float) -> None:
        """Record a complete response and its duration."""
        self.failures = 0
        self.failing_since = math.inf
        self.rejections = 0
        self.suspect_until = -math.inf
        self.failure_rate *= 1 - FAILURE_SAMPLE_WEIGHT
        if self.latency_s is None:
            self.latency_s = seconds
        else:
            self.latency_s += LATENCY_SAMPLE_WEIGHT * (
                seconds - self.latency_s
            )

    def observe_failure(self, now: float) -> None:
        """Record a failure that the runner caused."""
        self.failure_rate += FAILURE_SAMPLE_WEIGHT * (1 - self.failure_rate)
        if not self.failures:
            self.failing_since = now
        wait = min(MIN_SUSPECT_S * 2**self.failures, MAX_SUSPECT_S)
        self.failures = min(self.failures + 1, 8)
        self.suspect_until = now + wait

    def observe_replaced(self, now: float) -> None:
        """Record that another runner responded at this one's address.

        The platform's list replaces this entry later.
        """
        self.failures = min(self.failures + 1, 8)
        self.suspect_until = now + REPLACED_SUSPECT_S

    def observe_rejection(self, now: float) -> None:
        """Record a rejection: the runner is full or changes its role.

        The wait doubles with each rejection until a request succeeds.
        """
        wait = min(MIN_FULL_S * 2**self.rejections, MAX_FULL_S)
        self.rejections = min(self.rejections + 1, 8)
        self.full_until = now + wait

    def observe_error(self) -> None:
        """Record an error status, which healthy runners return at times."""
        self.failure_rate += FAILURE_SAMPLE_WEIGHT * (1 - self.failure_rate)
