"""Returns of the metadata store from a copy, and what must follow them."""

import json

import anyio

from primrosereel.standin import _metadata_store as metadata_store

__all__ = ['older_versions', 'return_from_copy']

OTHER_WRITES = 10


async def return_from_copy(store, random, publish):
    """Take the store away, and bring it back from a copy some time old.

    Its last answer is to the operator, whose configuration ``publish`` writes.
    What was written since the copy is written again, the configuration first,
    and other writes pass the revisions that were lost.
    """
    copy = store.copy()
    # Runners write constantly, so the instances' revisions are lost ones.
    for number in range(OTHER_WRITES):
        store.put(f'other/{number}', {})
    await anyio.sleep(random.uniform(1.5, 3.0))
    store.mode = metadata_store.StoreMode.RESET
    await publish()
    await anyio.sleep(random.uniform(0.1, 1.0))
    lost = store.copy()
    store.restore(copy)
    for key in sorted(lost.items):
        if lost.items[key].revision > copy.revision:
            store.put(key, lost.items[key].value)
    for key in copy.items.keys() - lost.items.keys():
        store.delete(key)
    for number in range(OTHER_WRITES):
        store.put(f'other/{number}', {})
    store.mode = metadata_store.StoreMode.UP


def older_versions(processes, version):
    """Return what is wrong with the versions that processes have in force."""
    found = {p.host: _version_in_force(p.log.read_text()) for p in processes}
    return [
        f'{host} has version {found[host]}, not {version}'
        for host in found
        if found[host] != version
    ]


def _version_in_force(log):
    """Return the version that the last process of a log put into force."""
    version = 0
    for line in log.splitlines():
        try:
            fields = json.loads(line)
        except json.JSONDecodeError:
            # A killed process may leave an incomplete last line.
            continue
        if fields.get('event') == 'configuration in force':
            version = fields['version']
    return version
