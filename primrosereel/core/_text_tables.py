"""Updates the shared tables from an accepted text.

Only services and client accounts that differ from the previous text are
touched.
"""

from primrosereel import _ids as ids
from primrosereel import text as text_module
from primrosereel.core import _group_assignment as group_assignment
from primrosereel.core import _tables as tables

__all__ = ['activate_text']

EMPTY_TEXT = text_module.Text({}, {}, {})


def activate_text(
    world: tables.World, text: text_module.Text, revision: ids.Revision
) -> None:
    """Make a text the one in force and update the tables to match it."""
    old = world.text or EMPTY_TEXT
    world.text = text
    world.revision = revision
    _update_services(world, old, text)
    _update_client_accounts(world, old, text)
    world.owners.clear()


def _update_services(
    world: tables.World, old: text_module.Text, new: text_module.Text
) -> None:
    changed = _changed_keys(old.services, new.services)
    # Removed before rows are added: a runner may have moved to another
    # service.
    for service in changed:
        _remove_runners(world, service, old, new)
    for service in changed:
        if service in new.services:
            facts = new.services[service]
            _update_groups(world, service, old.services.get(service), facts)
            _update_runners(world, service, facts)
        else:
            _remove_groups(world, service)


def _changed_keys(old, new) -> list:
    """Return the keys that were added, removed or have another value."""
    names = [n for n in old if n not in new]
    for name, value in new.items():
        before = old.get(name)
        if before is not value and before != value:
            names.append(name)
    return names


def _remove_runners(world, service, old, new) -> None:
    before = old.services.get(service)
    after = new.services.get(service)
    for runner in before.runners if before else ():
        if after is None or runner not in after.runners:
            world.runners.pop(runner, None)


def _update_groups(
    world: tables.World,
    service: ids.ServiceId,
    old: text_module.Service | None,
    new: text_module.Service,
) -> None:
    if old is None or _roles(old) != _roles(new):
        _remove_groups(world, service)
        groups = group_assignment.split_into_groups(service, new)
        world.groups.update(groups)
        world.service_groups[service] = tuple(groups)
    for group in world.service_groups[service]:
        world.group_regions[group] = new.region


def _roles(service: text_module.Service):
    return {runner: row.role for runner, row in service.runners.items()}


def _remove_groups(world: tables.World, service: ids.ServiceId) -> None:
    for group in world.service_groups.pop(service, ()):
        world.groups.pop(group, None)
        world.group_regions.pop(group, None)


def _update_runners(
    world: tables.World, service: ids.ServiceId, facts: text_module.Service
) -> None:
    for group in world.service_groups[service]:
        for runner in world.groups[group]:
            row = world.runners.get(runner)
            after = facts.runners[runner]
            if row is None or row.service != service or row.facts != after:
                world.runners[runner] = tables.Runner(
                    runner, service, group, after, leaving=after.leaving
                )
            else:
                row.group = group


def _update_client_accounts(
    world: tables.World, old: text_module.Text, new: text_module.Text
) -> None:
    changed = _changed_keys(old.client_accounts, new.client_accounts)
    # All old API keys are removed first: two client accounts may have swapped
    # theirs.
    for client_account in changed:
        before = old.client_accounts.get(client_account)
        if before is not None:
            world.client_accounts_by_key.pop(before.key_sha256, None)
    for client_account in changed:
        facts = new.client_accounts.get(client_account)
        if facts is None:
            world.client_accounts.pop(client_account, None)
            continue
        world.client_accounts_by_key[facts.key_sha256] = client_account
        row = world.client_accounts.get(client_account)
        if row is None:
            world.client_accounts[client_account] = tables.ClientAccount(
                client_account, facts
            )
        else:
            # Tokens and share are kept: a change must not refill the bucket.
            row.facts = facts
