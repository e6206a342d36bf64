"""Orders the entries of a runner when the store came back from a copy.

Within one history of the store its own order holds. A copy lists runners as
they were: one that drains may be ready again, and one that restarted may be
listed with its earlier run. A runner numbers what it writes since its start,
so the start of its run and this number tell which entry is older.
"""

from primrosereel import _ids as ids
from primrosereel.routing import _model as model

__all__ = ['EntryOrder']


class EntryOrder:
    """The history of the store in which each runner's entry was read."""

    def __init__(self) -> None:
        self._histories: dict[ids.RunnerId, int] = {}

    def is_older(
        self,
        new: model.RunnerListing,
        known: model.RunnerListing | None,
        history: int,
    ) -> bool:
        """Tell whether an entry is older than one of an earlier history.

        An entry that is not older counts as read.
        """
        is_read = self._histories.get(new.runner) == history
        if known and not is_read and _was_written_before(new, known):
            return True
        self._histories[new.runner] = history
        return False

    def forget(self, runner: ids.RunnerId) -> None:
        """Forget a runner whose entry was removed."""
        self._histories.pop(runner, None)


def _was_written_before(
    new: model.RunnerListing, known: model.RunnerListing
) -> bool:
    """Compare two entries; without a start of the run nothing is known."""
    if not new.born_ms or not known.born_ms:
        return False
    return (new.born_ms, new.sequence) < (known.born_ms, known.sequence)
