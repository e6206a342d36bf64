"""CPU time of one placement decision at a given size of the fleet."""

import dataclasses
import hashlib
import json
import random
import statistics
import time
from typing import Any

from primrosereel import _ids as ids
from primrosereel import _states as states
from primrosereel import core as core_module
from primrosereel.bench import _workloads as workloads
from primrosereel.core import _messages as messages

__all__ = ['median_decision_cpu_s']

# Wall-clock time at virtual time 0.
EPOCH_S = 1_800_000_000.0
# The design assumes 390 daemons for 1,400 runners.
RUNNERS_PER_DAEMON = 3.6
STARTUP_S = 4.0
# Covers the time for which the owner of a new group collects live grants.
GRANT_COLLECTION_S = 1.0
TICK_S = 0.1
MEASURED_DECISIONS = 400
# Streams that hold places of the group while decisions are measured.
ACTIVE_STREAMS = 20


def median_decision_cpu_s(
    workload_name: str, runners: int, seed: int
) -> float:
    """Return the median CPU time from a grant request to the grant.

    The measurement includes all systems of the core, with the tables of a
    fleet of ``runners``.
    """
    core, group, service = _make_core(workload_name, runners, seed)
    random_source = random.Random(seed)
    now = STARTUP_S + GRANT_COLLECTION_S
    for number in range(ACTIVE_STREAMS):
        name = f'held-{number}'
        _request_grant(core, group, service, name, random_source, now)
        _report_progress(core, group, name, states.Stage.PREFILL_DONE, now)
        _report_progress(core, group, name, states.Stage.DECODING, now)
        now += TICK_S
    cpu_times_s = []
    for number in range(MEASURED_DECISIONS):
        name = str(number)
        started = time.process_time()
        granted = _request_grant(
            core, group, service, name, random_source, now
        )
        cpu_times_s.append(time.process_time() - started)
        if not granted:
            raise RuntimeError(f'request {number} was not granted')
        _report_progress(core, group, name, states.Stage.PREFILL_DONE, now)
        _report_progress(core, group, name, states.Stage.RELEASED, now)
        now += TICK_S
    return statistics.median(cpu_times_s)


def _make_core(
    workload_name: str, runners: int, seed: int
) -> tuple[core_module.Core, ids.GroupId, ids.ServiceId]:
    workload = workloads.make_workload(workload_name, 1)
    text = _text_with_runners(workload_name, runners)
    daemons = max(1, round(runners / RUNNERS_PER_DAEMON))
    identity = core_module.Identity(
        ids.InstanceId('entry-1'),
        ids.Incarnation(1),
        ids.Region(workload.region),
        ids.AvailabilityZone(f'{workload.region}-a'),
        '127.0.0.1:20000',
    )
    identities = [
        dataclasses.replace(
            identity, instance=ids.InstanceId(f'entry-{number + 1}')
        )
        for number in range(daemons)
    ]
    core = core_module.Core(identity, random.Random(seed))
    instances = tuple(each.listed() for each in identities)
    core.handle(messages.InstanceListRead(1, EPOCH_S, instances), 0.0, EPOCH_S)
    body = json.dumps(text).encode()
    core.handle(
        messages.ConfigurationRead(ids.Revision(1), body), 0.0, EPOCH_S
    )
    # At start a daemon waits for a peer's configuration text, and here the
    # peers do not answer.
    for tick in range(round(STARTUP_S / TICK_S)):
        core.tick(tick * TICK_S, EPOCH_S + tick * TICK_S)
    group = min(core.world.groups)
    service = core.world.runners[core.world.groups[group][0]].service
    _request_grant(
        core, group, service, 'opens-the-group', random.Random(0), STARTUP_S
    )
    for tick in range(round(GRANT_COLLECTION_S / TICK_S)):
        now = STARTUP_S + tick * TICK_S
        core.tick(now, EPOCH_S + now)
    return core, group, service


def _text_with_runners(workload_name: str, runners: int) -> dict[str, Any]:
    """Return a text whose LLM service has exactly ``runners`` runners."""
    scale = 1
    workload = workloads.make_workload(workload_name, scale)
    while (
        len(workload.text['services'][workload.service]['runners']) < runners
    ):
        scale += 1
        workload = workloads.make_workload(workload_name, scale)
    service = workload.text['services'][workload.service]
    for name in sorted(service['runners'], reverse=True)[
        : len(service['runners']) - runners
    ]:
        del service['runners'][name]
    services = {workload.service: service}
    client_accounts = workload.text['client_accounts']
    for client_account in client_accounts.values():
        client_account['services'] = [workload.service]
    return {
        **workload.text,
        'services': services,
        'client_accounts': client_accounts,
    }


def _request_grant(
    core, group, service, name, random_source, now: float
) -> bool:
    """Request a grant from a peer; return whether it was granted at once."""
    digest = hashlib.sha256(name.encode()).digest()
    request = messages.GrantRequest(
        request_id=_request_id(name),
        attempt=1,
        service=service,
        group=group,
        client_account=ids.ClientAccountId('analysts'),
        priority=0,
        prompt_tokens=random_source.randrange(500, 8000),
        max_tokens=100,
        prefix_hashes=tuple(digest[:16]),
        wait_s=30.0,
        availability_zone=ids.AvailabilityZone('z'),
    )
    effects = _handle_from_peer(core, request, now)
    return any(
        isinstance(effect, messages.SendPeer)
        and isinstance(effect.message, messages.Grant)
        for effect in effects
    )


def _report_progress(core, group, name, stage, now: float) -> None:
    _handle_from_peer(
        core, messages.Progress(_request_id(name), 1, group, stage), now
    )


def _request_id(name: str) -> ids.RequestId:
    number = int.from_bytes(hashlib.sha256(name.encode()).digest()[:4], 'big')
    return ids.request_id(
        ids.InstanceId('entry-2'), ids.Incarnation(1), number
    )


def _handle_from_peer(core, message, now: float):
    sender = ids.InstanceId('entry-2')
    return core.handle(
        messages.FromPeer(sender, ids.Incarnation(1), message),
        now,
        EPOCH_S + now,
    )
