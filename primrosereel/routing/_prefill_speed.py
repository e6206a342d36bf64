"""How fast the prefill runners of a service are, as observed.

A prefill takes a fixed time and a time for each token, queued tokens before it
included. Both differ between deployments. Only the time for each token
occupies the runner, so the two are told apart by the different sizes of
prompts.
"""

from primrosereel.routing import _linear_fit as linear_fit

__all__ = ['PrefillSpeed']

# Time of a prefill before any was observed.
DEFAULT_FIXED_S = 0.12
DEFAULT_TOKEN_S = 2.0e-5
# Prompt sizes of the assumed observations that stand for the default.
DEFAULT_TOKEN_COUNTS = (2_000.0, 8_000.0)
# Weight of the observations, with the assumed ones and without what was
# forgotten, from which on the speed is known.
MIN_WEIGHT = 7.0
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
        self._fit = linear_fit.LinearFit()
        for tokens in DEFAULT_TOKEN_COUNTS:
            self.observe(tokens, DEFAULT_FIXED_S + DEFAULT_TOKEN_S * tokens)

    @property
    def token_s(self) -> float:
        """Seconds for each prompt token."""
        slope = self._fit.slope()
        if slope is None:
            return DEFAULT_TOKEN_S
        return min(
            max(slope, DEFAULT_TOKEN_S / MAX_DEVIATION),
            DEFAULT_TOKEN_S * MAX_DEVIATION,
        )

    @property
    def fixed_s(self) -> float:
        """Seconds of a prefill beside those for its tokens."""
        return self._fit.fixed(self.token_s)

    @property
    def is_known(self) -> bool:
        """Whether enough prefills were observed to compare runners with."""
        return self._fit.weight >= MIN_WEIGHT

    def expected_s(self, tokens: float, slowness: float = 1.0) -> float:
        """Return the expected time of a prefill at a runner."""
        return self.fixed_s + slowness * self.token_s * tokens

    def observe(self, tokens: float, seconds: float) -> None:
        """Add a prefill; ``tokens`` includes those queued before it."""
        self._fit.observe(tokens, seconds)
