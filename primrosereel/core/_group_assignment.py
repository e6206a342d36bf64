"""Assigns the runners of a service to groups.

Every daemon computes the same groups from the same text. A group has at most
16 runners, with prefill and decode runners in the proportion of the service.
Runners are assigned by rendezvous hashing with bounded group sizes, so that
adding or removing a runner moves at most about one other runner per group.
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

    Runners of roles that the checker does not expect are also assigned to a
    group of their service, so that no runner is lost.
    """
    by_role: dict[states.Role, list[ids.RunnerId]] = {}
    for runner, runner_facts in facts.runners.items():
        by_role.setdefault(runner_facts.role, []).append(runner)
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
    """Return the smallest number of groups that keeps each within bounds."""
    count = 1 if sizes else 0
    while sum(-(-size // count) for size in sizes) > MAX_RUNNERS_PER_GROUP:
        count += 1
    return count


def _assign(
    pool: Collection[ids.RunnerId], names: Sequence[ids.GroupId]
) -> dict[ids.RunnerId, ids.GroupId]:
    """Assign each runner to its best group with room.

    Group sizes differ by at most one.
    """
    base_size, larger_groups = divmod(len(pool), len(names))
    free_slots = {
        n: base_size + (i < larger_groups) for i, n in enumerate(names)
    }
    assigned = {}
    for runner in sorted(pool):
        best = max(
            (n for n in names if free_slots[n]),
            key=lambda n: (ownership.score(runner, n), n),
        )
        free_slots[best] -= 1
        assigned[runner] = best
    return assigned
