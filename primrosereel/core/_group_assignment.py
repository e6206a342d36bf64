"""Splits a service's runners into groups.

Every daemon computes the same groups from the same text. A group holds at
most 16 runners, with prefill and decode runners in the proportion of the
service. Runners are placed by rendezvous hashing with a bounded size, so a
runner that comes or goes moves about one other runner of each group at most.
"""

from collections.abc import Collection
from collections.abc import Sequence

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel import text as text_module
from primrosereel.core import _ownership as ownership

__all__ = ['split_into_groups']

Groups = dict[ids.GroupId, tuple[ids.RunnerId, ...]]

MAX_RUNNERS_PER_GROUP = text_module.MAX_GROUP_RUNNERS


def split_into_groups(
    service: ids.ServiceId, facts: text_module.Service
) -> Groups:
    """Return the groups of a service, each with its runners sorted.

    Runners without the roles the checker asks for still end up in a group of
    their own service, so that no runner is lost.
    """
    by_role: dict[states.Role, list[ids.RunnerId]] = {}
    for runner, row in facts.runners.items():
        by_role.setdefault(row.role, []).append(runner)
    pools = list(by_role.values())
    count = _group_count([len(pool) for pool in pools])
    names = [ids.GroupId(f'{service}/{i}') for i in range(count)]
    members: dict[ids.GroupId, list[ids.RunnerId]] = {n: [] for n in names}
    for pool in pools:
        for runner, group in _assign(pool, names).items():
            members[group].append(runner)
    return {
        name: tuple(sorted(group_runners))
        for name, group_runners in members.items()
    }


def _group_count(sizes: Sequence[int]) -> int:
    """Return the smallest number of groups of which none is too large."""
    count = 1 if sizes else 0
    while sum(-(-size // count) for size in sizes) > MAX_RUNNERS_PER_GROUP:
        count += 1
    return count


def _assign(
    pool: Collection[ids.RunnerId], names: Sequence[ids.GroupId]
) -> dict[ids.RunnerId, ids.GroupId]:
    """Give each runner its best group with room; sizes differ by one."""
    least, extra = divmod(len(pool), len(names))
    room = {n: least + (i < extra) for i, n in enumerate(names)}
    placed = {}
    for runner in sorted(pool):
        best = max(
            (n for n in names if room[n]),
            key=lambda n: (ownership.score(runner, n), n),
        )
        room[best] -= 1
        placed[runner] = best
    return placed
