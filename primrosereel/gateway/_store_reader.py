"""Reads the configuration and the runners from the platform's store.

The store is read once and then watched. Each call to the store costs money
and runners write to it constantly, so there is a pause between two watches. A
watch continues from the last revision, so no change is lost. The pause is a
share of the shorter of the two bounds within which changes must take effect.
Instances that see each other share what they read, so that only a few of them
call the store in each pause.

Revisions name states of one history of the store only. The history of each
answer is therefore checked before its revision or entries are used, and all
entries are read again when the store has come back from a copy.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import math

import anyio

from primrosereel import _ids as ids
from primrosereel.gateway import _context as context_module
from primrosereel.gateway import _entry_faults as entry_faults
from primrosereel.gateway import _ports as ports
from primrosereel.routing import _model as model
from primrosereel.routing import _runner_list as runner_list
from primrosereel.routing import _shared_watch as shared_watch
from primrosereel.routing import _store_history as store_history

__all__ = ['StoreReader']

# The share of the shorter bound that the pause between two watches takes, of
# one instance or of all that see each other.
PAUSE_SHARE = 0.35
# Whether instances share what they read. Off: an instance of a fleet of 87
# missed a configuration with it, and the cause is not known.
SHARES_WATCH = False
# Changes of up to this size are sent to peers; larger ones, such as whole
# configurations, each instance reads from the store.
MAX_NOTICE_BYTES = 1000
# A watch on a lost connection is only detected when it times out. A watch is
# therefore limited to a share of the time within which an instance must catch
# up after an outage of the store.
WATCH_SHARE = 0.5
# With strict revocation, a version is confirmed from when a call begins until
# the next one ends, so two watches and a pause must fit into ``revoke_s``.
REVOKE_SHARE = 0.25
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
# A call that is under way as the store returns, and this pause, must end
# within the stable window.
BACKOFF_SHARE = 1 / 3
# An instance without a configuration cannot serve requests, so it retries
# more often.
MAX_INITIAL_BACKOFF_S = 0.2


class StoreReader:
    """Reads the store once, then watches it."""

    def __init__(
        self, context: context_module.Context, store: ports.MetadataStore
    ) -> None:
        self._context = context
        self._store = store
        self._runner_list = runner_list.RunnerList(context.runners)
        self._watch_state = shared_watch.SharedWatch(context.random)
        self._history = store_history.StoreHistory()
        self._entry_faults = entry_faults.EntryFaults(context)
        self._unreadable_era = ''
        # The history that was read last, and whether it was watched since.
        self._history_read = 0
        self._watched = False
        self._notice_received = anyio.Event()
        # Stays set when history is lost, as the entries read before that are
        # still in use.
        self._synchronized = False
        self._backoff_s = MIN_BACKOFF_S
        self._available = True

    @property
    def _pause_s(self) -> float:
        settings = self._context.settings
        pause_s = PAUSE_SHARE * min(
            settings.runner_drain_s, settings.configuration_s
        )
        return min(pause_s, self._max_step_s)

    @property
    def _max_step_s(self) -> float:
        """The limit of a pause, and of a watch, with strict revocation."""
        settings = self._context.settings
        if not settings.strict_revocation:
            return math.inf
        return REVOKE_SHARE * settings.revoke_s

    @property
    def _has_peers(self) -> bool:
        context = self._context
        return context.ledger.peer_count(context.clock()) > 0

    @property
    def _watch_s(self) -> float:
        """How long the store is asked to wait for changes.

        A watch that waits tells peers nothing, so each of them would start
        one as well. While the store is away, an answer at once tells that it
        is back.
        """
        if not self._available:
            return 0.0
        if SHARES_WATCH and self._has_peers:
            return 0.0
        watch_s = WATCH_SHARE * self._context.settings.stable_window_s
        return min(watch_s, self._max_step_s)

    @property
    def synchronized(self) -> bool:
        """Whether the store has been read since the start."""
        return self._synchronized

    async def run(self) -> None:
        """Read and watch until cancelled."""
        while True:
            try:
                if self._watch_state.revision:
                    await self._watch()
                    await self._wait_until_due()
                else:
                    await self._read()
                self._note_store_recovered()
            except ports.HistoryLost as error:
                await self._forget_history(str(error))
            except ports.StaleAnswer:
                await self._back_off()
            except ports.StoreUnavailable as error:
                self._note_store_lost(str(error))
                await self._back_off()
                if self._watch_state.revision:
                    await self._wait_until_due()

    async def remove_missing_runners(self) -> None:
        """Remove runners that did not register again after an outage."""
        for runner in self._runner_list.remove_missing(self._context.clock()):
            self._context.log.info('runner gone', runner=runner)

    async def _back_off(self) -> None:
        await anyio.sleep(self._backoff_s)
        max_backoff_s = min(
            MAX_BACKOFF_S,
            BACKOFF_SHARE * self._context.settings.stable_window_s,
        )
        if self._context.table is None:
            max_backoff_s = MAX_INITIAL_BACKOFF_S
        self._backoff_s = min(2 * self._backoff_s, max_backoff_s)

    async def _forget_history(self, detail: str) -> None:
        """Have all entries read again, at once unless it did not help."""
        self._context.log.info(
            'store history lost',
            detail=detail,
            era=self._history.era,
            revision=self._history.revision,
        )
        is_same = self._history.number == self._history_read
        if is_same and not self._watched:
            await self._wait_until_due()
        self._watch_state.reset()

    async def _read(self) -> None:
        started_at = self._context.clock()
        state = await self._call(self._store.read)
        self._note_store_recovered()
        listings = []
        kept = []
        for change in state.changes:
            self._entry_faults.observe(change)
            if change.runner is not None and change.runner.out_of_range:
                kept.append(change.runner.runner)
            if change.runner is not None and change.runner.listing:
                listings.append(change.runner.listing)
                if self._synchronized:
                    self._note_listing(change.runner, change.revision)
            self._apply_table(change)
        self._context.version_confirmed_at = started_at
        self._runner_list.apply_snapshot(listings, self._context.clock(), kept)
        self._watch_state.snapshot_read(state.revision, self._context.clock())
        self._history_read, self._watched = self._history.number, False
        self._synchronized = True
        self._context.log.info(
            'store read',
            era=self._history.era,
            revision=state.revision,
            runners=len(listings),
        )

    async def _watch(self) -> None:
        since = self._watch_state.revision

        async def watch() -> ports.StoreState:
            return await self._store.watch(since, self._watch_s)

        history = self._history.number
        started_at = self._context.clock()
        state = await self._call(watch)
        self._note_store_recovered()
        if self._history.number != history:
            # The revision watched from belongs to a lost history.
            raise ports.HistoryLost('the store came back from a copy')
        self._watched = True
        now = self._context.clock()
        # A notice that arrived during the call may hold later changes.
        if state.revision >= self._watch_state.revision:
            self._apply_changes(state.changes, now)
        # Not the time of the answer, which a process that was suspended may
        # read long after it was sent.
        self._context.version_confirmed_at = started_at
        self._watch_state.changes_read(
            state.revision, state.relevant_revision, now
        )
        self._send_notice(since, state)

    def _apply_changes(
        self, changes: Iterable[ports.StoreChange], now: float
    ) -> None:
        for change in changes:
            self._entry_faults.observe(change)
            if change.runner is not None:
                self._note_listing(change.runner, change.revision)
                self._runner_list.apply_change(change.runner, now)
            self._apply_table(change)

    async def _wait_until_due(self) -> None:
        """Wait until the own knowledge of the store is too old."""
        clock = self._context.clock
        while (
            wait_s := self._watch_state.due_at(self._pause_s) - clock()
        ) > 0:
            self._notice_received = anyio.Event()
            with anyio.move_on_after(wait_s):
                await self._notice_received.wait()

    def _send_notice(self, since: int, state: ports.StoreState) -> None:
        """Tell peers what was read, with the changes if they are small."""
        notice = self.notice()
        if notice is None:
            return
        # An answer that is older than a notice lacks its changes.
        is_newest = state.revision == self._watch_state.revision
        is_small = len(state.content) <= MAX_NOTICE_BYTES
        if is_newest and is_small:
            notice = notice._replace(since=since, content=state.content)
        self._context.send_store_notice(notice)

    def notice(self) -> shared_watch.Notice | None:
        """Return what this instance knows of the store, for its peers."""
        if not SHARES_WATCH:
            return None
        notice = self._watch_state.notice()
        return notice and notice._replace(era=self._history.era)

    @property
    def in_touch_since(self) -> float:
        """Since when the store has answered; infinite while it does not."""
        return self._runner_list.in_touch_since

    def peer_in_touch(self, peer: ids.InstanceId, since: float) -> None:
        """Record since when a peer has had the store."""
        self._runner_list.peer_in_touch(peer, since, self._context.clock())

    def receive_notice(self, notice: shared_watch.Notice) -> None:
        """Use what a peer knows of the store."""
        if not SHARES_WATCH:
            return
        use = self._classify_notice(notice)
        if use is shared_watch.NoticeUse.NOTHING:
            return
        if use is shared_watch.NoticeUse.BEHIND:
            self._watch_state.fall_behind()
        else:
            self._accept_notice(notice, use)
        self._notice_received.set()

    def _classify_notice(
        self, notice: shared_watch.Notice
    ) -> shared_watch.NoticeUse:
        """Return what a notice is good for; revisions need the same era."""
        era = self._history.era
        if notice.era == era:
            return self._watch_state.classify(notice)
        if notice.era is not None and (era is None or notice.era > era):
            return shared_watch.NoticeUse.BEHIND
        return shared_watch.NoticeUse.NOTHING

    def _accept_notice(
        self, notice: shared_watch.Notice, use: shared_watch.NoticeUse
    ) -> None:
        now = self._context.clock()
        self._runner_list.store_recovered(now)
        if use is shared_watch.NoticeUse.COMPLETES:
            try:
                changes = self._store.decode(notice.content)
            except ports.StoreUnavailable as error:
                self._context.count('store.notices_unreadable')
                self._context.log.warning(
                    'store notice unreadable', detail=str(error)
                )
                self._watch_state.fall_behind()
                return
            self._context.count('store.notices_applied')
            self._apply_changes(changes, now)
        self._watch_state.accept(notice)

    def _note_listing(
        self, change: runner_list.ListingChange, revision: int
    ) -> None:
        """Start the callbacks of a runner that leaves, and log its change.

        A change that does not affect routing is not logged.
        """
        if change.out_of_range:
            return
        runner = self._context.runners.get(change.runner)
        new = change.listing
        if new is not None and self._is_outdated(new):
            return
        if new is None or new.leaving:
            self._context.leave_callbacks.runner_leaves(change.runner)
        if new is None:
            if runner is not None:
                self._context.log.info(
                    'runner entry gone', runner=change.runner
                )
            return
        old = runner.listing if runner is not None else None
        if old is not None and old.routing_fields == new.routing_fields:
            return
        self._context.log.info(
            'runner listed',
            runner=new.runner,
            service=new.service,
            address=str(new.address),
            role=new.role.value,
            leaving=new.leaving,
            born_ms=new.born_ms,
            sequence=new.sequence,
            era=self._history.era,
            revision=revision,
        )

    def _is_outdated(self, new: model.RunnerListing) -> bool:
        """Tell whether an entry is ignored; count and log it."""
        context = self._context
        if not self._runner_list.ignores(new, context.clock()):
            return False
        known = context.runners.availability.record(new.runner).version
        context.count('store.entries_ignored')
        context.log.info(
            'runner entry ignored',
            runner=new.runner,
            born_ms=new.born_ms,
            sequence=new.sequence,
            known_born_ms=known.born_ms,
            known_sequence=known.sequence,
        )
        return True

    async def _call(
        self, call: Callable[[], Awaitable[ports.StoreState]]
    ) -> ports.StoreState:
        """Make a call; raise StaleAnswer if its answer is not to be used."""
        self._context.count('store.calls')
        try:
            state = await call()
        except ports.StoreError as error:
            self._observe_origin(error.origin, None)
            raise
        use = self._observe_origin(state.origin, state.revision)
        if use is store_history.AnswerUse.OLDER:
            raise ports.StaleAnswer
        return state

    def _observe_origin(
        self, origin: ports.StoreOrigin, revision: int | None
    ) -> store_history.AnswerUse:
        """Return which history of the store a response belongs to.

        In a newer one nothing is known yet, so all entries are read again.
        """
        if origin.unreadable:
            self._note_unreadable_era(origin.unreadable)
        history = self._history
        previous_era, previous_revision = history.era, history.revision
        use = history.observe(origin.era, revision, self._context.clock())
        if use is store_history.AnswerUse.NEWER:
            self._context.count('store.returns')
            self._context.log.warning(
                'store came back from a copy',
                era=origin.era,
                revision=revision,
                previous_era=previous_era,
                previous_revision=previous_revision,
            )
            self._watch_state.reset()
            self._runner_list.store_restored(self._context.clock())
        elif use is store_history.AnswerUse.OLDER:
            self._context.count('store.answers_discarded')
            self._context.log.info(
                'store answer discarded',
                era=origin.era,
                revision=revision,
                known_era=previous_era,
                known_revision=previous_revision,
            )
        return use

    def _note_unreadable_era(self, value: str) -> None:
        """Count an era that cannot be read; log it if it is another one."""
        self._context.count('store.eras_unreadable')
        if value != self._unreadable_era:
            self._unreadable_era = value
            self._context.log.warning('store era unreadable', value=value)

    def _apply_table(self, change: ports.StoreChange) -> None:
        """Put a newer configuration into effect; ignore an older one."""
        context = self._context
        table = change.table
        if table is None:
            return
        if context.table and not table.replaces(context.table):
            return
        context.table = table
        context.table_since = context.clock()
        context.places.set_services(table.services)
        accounts = table.client_accounts
        context.quotas.set_accounts(
            accounts.by_name.values() if accounts else (), context.clock()
        )
        context.log.info(
            'configuration in force',
            version=table.version,
            era=self._history.era,
            revision=change.revision,
            routes=table.route_count,
        )

    def _note_store_lost(self, detail: str) -> None:
        self._runner_list.store_lost(self._context.clock())
        if self._available:
            self._available = False
            self._context.log.warning('store lost', detail=detail)

    def _note_store_recovered(self) -> None:
        self._runner_list.store_recovered(self._context.clock())
        self._backoff_s = MIN_BACKOFF_S
        if not self._available:
            self._available = True
            self._context.log.info(
                'store regained',
                era=self._history.era,
                revision=self._history.revision,
            )
