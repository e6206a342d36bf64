"""Checks of a soak run on client accounts and their keys."""

from tests.soak import operator as operator_module
from tests.soak import record as record_module

__all__ = ['check_account_fields', 'check_key_texts', 'check_keys']


def check_keys(record):
    """Keys are accepted while they are valid, and refused afterwards."""
    State = operator_module.RouteState
    for attempt in record.attempts.values():
        if attempt.reply is None:
            continue
        status, key = attempt.reply.status, attempt.key
        if key is None:
            wrong, state = status not in (0, 401, 503), State.ABSENT
        elif key is operator_module.STEADY_KEY:
            wrong, state = status == 401, State.PRESENT
        else:
            state = key.state(attempt.sent_at)
            wrong = record.in_touch(attempt.process, attempt.sent_at) and (
                (state is State.PRESENT and status == 401)
                or (state is State.ABSENT and status == 200)
            )
        if wrong:
            yield record_module.violation(
                attempt, f'{status} with a key that is {state.value}'
            )


def check_account_fields(record):
    """Runners are told the caller's account once, and never a key."""
    for name, runner in record.runners.items():
        for arrival in runner.arrivals:
            request = arrival.request
            told = [v.decode() for n, v in request.fields if n == b'tenant']
            attempt = record.attempts.get(arrival.request_id)
            expected = []
            if attempt is not None and attempt.key is not None:
                expected = [attempt.key.account]
            keyed = any(n == b'authorization' for n, _ in request.fields)
            if (
                keyed
                or told != expected
                or operator_module.KEY_MARK
                in str((request.target, request.fields))
            ):
                yield record_module.Violation(
                    f'{name} got {request.path} of {arrival.request_id!r} '
                    f'with the accounts {told}, not {expected}, or a key',
                    arrival.request_id,
                )


def check_key_texts(record):
    """No line of a log has a key."""
    for process in record.processes:
        if operator_module.KEY_MARK in process.log.read_text():
            yield record_module.Violation(
                f'{process.host} has logged a key', ''
            )
