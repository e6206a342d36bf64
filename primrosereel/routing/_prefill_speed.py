"""How fast the prefill runners of a service are, as observed.

Pattern: online linear regression with exponential forgetting. A prefill takes
a fixed time and a time for each token, queued tokens before it included. Both
differ between deployments. Only the time for each token occupies the runner,
so the two are told apart by the different sizes of prompts.
"""

__all__ = ['PrefillSpeed']

# Time of a prefill before any was observed.
DEFAULT_FIXED_S = 0.12
DEFAULT_TOKEN_S = 2.0e-5
# Prompt sizes of the assumed observations that stand for the default.
DEFAULT_TOKEN_COUNTS = (2_000.0, 8_000.0)
# Weight that an observation keeps with each later one.
RETAINED_WEIGHT = 0.97
# Range of the time for each token, relative to the default: an observation
# beyond it shows a stalled runner or a measurement without a prompt.
MAX_DEVIATION = 20.0


class PrefillSpeed:
    """The fixed time and the time for each token of a prefill.

    Example::

        speed = PrefillSpeed()
        speed.observe(5_000, 0.11)
        speed.expected_s(8_000)
    """

    def __init__(self) -> None:
        self._weight = 0.0
        self._mean_tokens = 0.0
        self._mean_s = 0.0
        self._variance = 0.0
        self._covariance = 0.0
        for tokens in DEFAULT_TOKEN_COUNTS:
            self.observe(tokens, DEFAULT_FIXED_S + DEFAULT_TOKEN_S * tokens)

    @property
    def token_s(self) -> float:
        """Seconds for each prompt token."""
        if self._variance <= 0.0:
            return DEFAULT_TOKEN_S
        slope = self._covariance / self._variance
        # The fixed time is not negative.
        slope = min(slope, self._mean_s / self._mean_tokens)
        return min(
            max(slope, DEFAULT_TOKEN_S / MAX_DEVIATION),
            DEFAULT_TOKEN_S * MAX_DEVIATION,
        )

    @property
    def fixed_s(self) -> float:
        """Seconds of a prefill beside those for its tokens."""
        return max(0.0, self._mean_s - self.token_s * self._mean_tokens)

    def expected_s(self, tokens: float, slowness: float = 1.0) -> float:
        """Return the expected time of a prefill at a runner."""
        return self.fixed_s + slowness * self.token_s * tokens

    def observe(self, tokens: float, seconds: float) -> None:
        """Add a prefill; ``tokens`` includes those queued before it."""
        self._weight = RETAINED_WEIGHT * self._weight + 1.0
        share = 1.0 / self._weight
        token_distance = tokens - self._mean_tokens
        time_distance = seconds - self._mean_s
        self._mean_tokens += share * token_distance
        self._mean_s += share * time_distance
        kept = 1.0 - share
        self._variance = kept * (self._variance + share * token_distance**2)
        self._covariance = kept * (
            self._covariance + share * token_distance * time_distance
        )
