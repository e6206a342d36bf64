"""Tells which history of the platform's store an answer belongs to.

Pattern: epoch numbers (generation clock). The store may come back from an
older copy. It then gives revisions out again, so a revision alone does not
name a state. The store numbers its histories with an era that rises at each
return; a store without eras shows a return only by a revision that is lower
than before.
"""

import enum

from primrosereel import _ids as ids

__all__ = ['AnswerUse', 'StoreHistory']

# Answers of an older era may have been under way for some seconds. After this
# time without any other answer, the store itself counts its eras anew.
MAX_OLDER_ERA_S = 10.0


class AnswerUse(enum.Enum):
    """Which history an answer belongs to."""

    CURRENT = 'current'
    # What was read before belongs to a history that the store has lost.
    NEWER = 'newer'
    # The answer is from before a return that is already known.
    OLDER = 'older'


class StoreHistory:
    """The era and the revision of the answers that were used last.

    Example::

        if history.observe(era, revision, now) is AnswerUse.NEWER:
            ...  # read all entries again
    """

    def __init__(self) -> None:
        self._era: ids.StoreEra | None = None
        self._revision = 0
        self._number = 0
        self._only_older_since: float | None = None

    @property
    def era(self) -> ids.StoreEra | None:
        """The known era; None if the store has not named one."""
        return self._era

    @property
    def revision(self) -> int:
        """The highest revision of the present history that was answered."""
        return self._revision

    @property
    def number(self) -> int:
        """How many histories this process has seen; 0 before an answer."""
        return self._number

    def observe(
        self, era: ids.StoreEra | None, revision: int | None, now: float
    ) -> AnswerUse:
        """Record an answer; ``revision`` is None for a refusal."""
        if self._is_older(era, now):
            return AnswerUse.OLDER
        is_newer = self._number > 0 and self._differs(era, revision)
        if era is not None:
            self._era = era
        if is_newer:
            self._number += 1
            self._revision = 0
        if revision is not None:
            self._number = max(self._number, 1)
            self._revision = max(self._revision, revision)
        return AnswerUse.NEWER if is_newer else AnswerUse.CURRENT

    def _is_older(self, era: ids.StoreEra | None, now: float) -> bool:
        if era is None or self._era is None or era >= self._era:
            self._only_older_since = None
            return False
        if self._only_older_since is None:
            self._only_older_since = now
        if now - self._only_older_since < MAX_OLDER_ERA_S:
            return True
        self._only_older_since = None
        return False

    def _differs(self, era: ids.StoreEra | None, revision: int | None) -> bool:
        if era is not None and era != self._era:
            return True
        return revision is not None and revision < self._revision
