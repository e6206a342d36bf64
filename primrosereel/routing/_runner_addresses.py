"""Which runners are listed at each address."""

from primrosereel import _ids as ids
from primrosereel.routing import _model as model

__all__ = ['RunnerAddresses']


class RunnerAddresses:
    """The runners of a table by their address.

    Each entry of the store is compared with those at its address. Compared
    with all runners, the heartbeats of thousands of them would hold the event
    loop for seconds.

    Example::

        addresses = RunnerAddresses()
        addresses.put(runner_id, address)
        addresses.at(address)  # (runner_id,)
    """

    def __init__(self) -> None:
        self._addresses: dict[ids.RunnerId, model.Address] = {}
        # The keys are in the order in which the runners came.
        self._runners: dict[model.Address, dict[ids.RunnerId, None]] = {}

    def put(self, runner: ids.RunnerId, address: model.Address) -> None:
        """Record the address of a runner in place of an earlier one."""
        if self._addresses.get(runner) == address:
            return
        self.remove(runner)
        self._addresses[runner] = address
        self._runners.setdefault(address, {})[runner] = None

    def remove(self, runner: ids.RunnerId) -> None:
        """Forget a runner, if it is known."""
        address = self._addresses.pop(runner, None)
        if address is None:
            return
        del self._runners[address][runner]
        if not self._runners[address]:
            del self._runners[address]

    def at(self, address: model.Address) -> tuple[ids.RunnerId, ...]:
        """Return the runners at an address."""
        return tuple(self._runners.get(address, ()))
