"""Returns of the metadata store from a copy, and what must follow them."""

import json

import anyio

from primrosereel.standin import _metadata_store as metadata_store

__all__ = ['older_versions', 'return_from_copy']


async def return_from_copy(store, random):
    """Take the store away, and bring it back from a copy some time old.

    What was written since the copy is written again, in another order.
    """
    copy = store.copy()
    await anyio.sleep(random.uniform(0.3, 3.0))
    store.mode = metadata_store.StoreMode.RESET
    await anyio.sleep(random.uniform(0.1, 1.0))
    lost = store.copy().items
    store.restore(copy)
    for key in sorted(lost, reverse=True):
        if lost[key].revision > copy.revision:
            store.put(key, lost[key].value)
    for key in copy.items.keys() - lost.keys():
        store.delete(key)
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
