"""Orders to an engine: load a model or an adapter, set the role."""

from primrosereel import _states as states
from primrosereel.standin import _engine_context as engine_context
from primrosereel.standin import _link as link
from primrosereel.standin import _tokens as tokens
from primrosereel.standin import _types as types

__all__ = ['LOAD_ADAPTER', 'LOAD_MODEL', 'Orders', 'SET_ROLE']

LOAD_MODEL = 'load_model'
LOAD_ADAPTER = 'load_adapter'
SET_ROLE = 'set_role'

ROLES_BY_NAME = {'prefill': states.Role.PREFILL, 'decode': states.Role.DECODE}
EMPTY_PROMPT = tokens.Prompt(key=0, tokens=0)

Outcome = types.Outcome


class Orders:
    """Role, loaded models and adapters, and fencing token of one engine."""

    def __init__(
        self, context: engine_context.EngineContext, store: link.WeightStore
    ) -> None:
        self._context = context
        self._store = store
        self.reset()

    def reset(self) -> None:
        """Return to the configured state, as a restart does."""
        config = self._context.config
        self.role = config.role
        self._last_fencing_token = 0
        self._loaded: dict[str, list[str]] = {
            LOAD_MODEL: list(config.models),
            LOAD_ADAPTER: list(config.adapters),
        }
        self._loading: set[tuple[str, str]] = set()

    def serves(self, model: str) -> bool:
        """Tell whether requests for a model are accepted."""
        any_model = not self._context.config.models
        return any_model or model in self._loaded[LOAD_MODEL]

    def state(self, incarnation: int) -> types.EngineState:
        """Return the role, what is loaded and the last fencing token."""
        return types.EngineState(
            role=self.role,
            models=tuple(self._loaded[LOAD_MODEL]),
            adapters=tuple(self._loaded[LOAD_ADAPTER]),
            fencing_token=self._last_fencing_token,
            incarnation=incarnation,
        )

    def apply(
        self, fencing_token: int, kind: str, value: str, now: float
    ) -> Outcome:
        """Apply an order or refuse it."""
        counters = self._context.counters
        if self._refuses_token(fencing_token):
            counters.orders_refused += 1
            return Outcome.OLD_TOKEN
        if kind == SET_ROLE and value in ROLES_BY_NAME:
            self.role = ROLES_BY_NAME[value]
        elif kind in self._loaded and value:
            self._load(kind, value, now)
        else:
            counters.orders_refused += 1
            return Outcome.CONFLICT
        counters.orders_taken += 1
        self._last_fencing_token = fencing_token
        return Outcome.OK

    def _refuses_token(self, fencing_token: int) -> bool:
        fencing = self._context.faults.fencing
        if fencing == 'refuse':
            return True
        checks_fencing = self._context.config.checks_fencing
        return (
            checks_fencing
            and fencing != 'ignore'
            and fencing_token < self._last_fencing_token
        )

    def _load(self, kind: str, value: str, now: float) -> None:
        if value in self._loaded[kind] or (kind, value) in self._loading:
            return
        self._loading.add((kind, value))
        ends_at = self._store.reserve(self._context.config.weights_bytes, now)
        # Every timer belongs to a request; this one is not a held request.
        timer_owner = engine_context.EngineRequest(
            value, EMPTY_PROMPT, 0, types.State.QUEUED, 0
        )

        def finish_load(_: engine_context.EngineRequest, time: float) -> None:
            self._loading.discard((kind, value))
            self._loaded[kind].append(value)
            event = types.OrderEnded(time, kind, value)
            self._context.events.append(event)

        self._context.set_timer(timer_owner, ends_at, finish_load)
