"""Reads the operators' text field by field.

Each function returns a structure even if a field is not valid: the field then
holds None or its default, and the fault is added to the list. So the checks
across fields still run, and all faults are reported together.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import re
from typing import Any

from primrosereel import _options as options
from primrosereel import _states as states
from primrosereel.text import _model as model

__all__ = ['read_text']

Faults = list[options.Fault]

# Names are parts of counters, group ids and request ids, so they must not
# contain the separators of these, '/' and NUL.
NAME_PATTERN = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,127}')
NAME_ALLOWED = 'a name of letters, digits, ".", "_" and "-", at most 128'
# Names of models are also paths in weight stores, so they may contain "/".
MODEL_NAME_PATTERN = re.compile(r'[A-Za-z0-9][A-Za-z0-9._/:-]{0,127}')
MODEL_NAME_ALLOWED = (
    'a name of letters, digits, ".", "_", "/", ":" and "-", at most 128'
)
KEY_HASH_PATTERN = re.compile(r'[0-9a-fA-F]{64}')
METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')

TEXT_FIELDS = ('models', 'services', 'client_accounts')
MAX_PRIORITY = 9
MAX_PLACES = 100_000
MAX_PIECES = 100_000_000
MAX_TOKENS = 100_000_000
MAX_QUEUE_LIMIT = 100_000
MAX_DURATION_S = 3600.0
# The lowest duration or rate that is accepted where 0 is not.
MIN_POSITIVE = 0.000_001
MAX_RATE_PER_S = 1e9


def read_text(data: object, faults: Faults) -> model.Text:
    """Read a text from decoded JSON."""
    if not isinstance(data, Mapping):
        faults.append(options.Fault('', data, 'an object'))
        return model.Text({}, {}, {})
    options.check_known(data, TEXT_FIELDS, faults)
    models = {
        name: _read_model(entry, path, faults)
        for name, entry, path in _entries(
            data, 'models', '', faults, MODEL_NAME_PATTERN, MODEL_NAME_ALLOWED
        )
    }
    services = {
        name: _read_service(entry, path, faults)
        for name, entry, path in _entries(data, 'services', '', faults)
    }
    client_accounts = {
        name: _read_client_account(entry, path, faults)
        for name, entry, path in _entries(data, 'client_accounts', '', faults)
    }
    return model.Text(models, services, client_accounts)


def _entries(
    data: Mapping[str, Any],
    field: str,
    path: str,
    faults: Faults,
    pattern: re.Pattern[str] = NAME_PATTERN,
    allowed: str = NAME_ALLOWED,
) -> Iterator[tuple[Any, Mapping[str, Any], str]]:
    """Yield name, object and path of each entry of an object of objects."""
    section = options.get_mapping_opt(data, field, faults, path) or {}
    for name, entry in section.items():
        entry_path = f'{path}.{field}.{name}' if path else f'{field}.{name}'
        if not pattern.fullmatch(name):
            faults.append(options.Fault(entry_path, name, allowed))
        if isinstance(entry, Mapping):
            yield name, entry, entry_path
        else:
            faults.append(options.Fault(entry_path, entry, 'an object'))


def _read_model(entry, path, faults) -> model.Model:
    options.check_known(entry, model.Model.__struct_fields__, faults, path)
    return model.Model(
        prefill_tokens_s=_read_float(
            entry,
            'prefill_tokens_s',
            faults,
            path,
            MIN_POSITIVE,
            MAX_RATE_PER_S,
        ),
        decode_step_s=_read_float(
            entry, 'decode_step_s', faults, path, MIN_POSITIVE, MAX_DURATION_S
        ),
        kv_bytes_per_token=options.get_int_opt(
            entry,
            'kv_bytes_per_token',
            faults,
            path,
            minimum=1,
            maximum=1_000_000_000,
        ),
        context_tokens=options.get_int_opt(
            entry,
            'context_tokens',
            faults,
            path,
            minimum=1,
            maximum=MAX_TOKENS,
        ),
    )


def _read_service(entry, path, faults) -> model.Service:
    options.check_known(entry, model.Service.__struct_fields__, faults, path)
    return model.Service(
        kind=_read_enum(entry, 'kind', faults, path, states.ServiceKind),
        region=_read_name(entry, 'region', faults, path),
        runners={
            name: _read_runner(runner, runner_path, faults)
            for name, runner, runner_path in _entries(
                entry, 'runners', path, faults
            )
        },
        model=_read_model_name(entry, faults, path),
        adapters=_read_strings(entry, 'adapters', faults, path, []),
        depends_on=_read_strings(entry, 'depends_on', faults, path, []),
        calls=_read_calls(entry, path, faults),
        first_token_s=_read_float(
            entry,
            'first_token_s',
            faults,
            path,
            MIN_POSITIVE,
            MAX_DURATION_S,
            0.36,
        ),
        token_gap_s=_read_float(
            entry,
            'token_gap_s',
            faults,
            path,
            MIN_POSITIVE,
            MAX_DURATION_S,
            0.069,
        ),
        max_wait_s=_read_float(
            entry, 'max_wait_s', faults, path, 0.0, MAX_DURATION_S, 30.0
        ),
        queue_limit=options.get_int_opt(
            entry, 'queue_limit', faults, path, 64, maximum=MAX_QUEUE_LIMIT
        ),
    )


def _read_runner(entry, path, faults) -> model.Runner:
    options.check_known(entry, model.Runner.__struct_fields__, faults, path)
    return model.Runner(
        address=options.get_address_opt(entry, 'address', faults, path),
        availability_zone=_read_name(entry, 'availability_zone', faults, path),
        role=_read_enum(entry, 'role', faults, path, states.Role),
        places=options.get_int_opt(
            entry, 'places', faults, path, 20, minimum=1, maximum=MAX_PLACES
        ),
        pieces=options.get_int_opt(
            entry, 'pieces', faults, path, 200, minimum=1, maximum=MAX_PIECES
        ),
        piece_tokens=options.get_int_opt(
            entry,
            'piece_tokens',
            faults,
            path,
            2000,
            minimum=1,
            maximum=MAX_TOKENS,
        ),
        link_bytes_s=_read_float(
            entry, 'link_bytes_s', faults, path, 1.0, 1e15, 10e9
        ),
        leaving=options.get_bool_opt(entry, 'leaving', faults, path, False),
        checks_fencing=options.get_bool_opt(
            entry, 'checks_fencing', faults, path, False
        ),
    )


def _read_calls(entry, path, faults) -> tuple[model.Call, ...]:
    call_entries = entry.get('calls', [])
    calls_path = f'{path}.calls'
    if not isinstance(call_entries, (list, tuple)):
        faults.append(
            options.Fault(calls_path, call_entries, 'a list of objects')
        )
        return ()
    calls = []
    for position, call_entry in enumerate(call_entries):
        if isinstance(call_entry, Mapping):
            calls.append(
                _read_call(call_entry, f'{calls_path}.{position}', faults)
            )
        else:
            faults.append(
                options.Fault(
                    f'{calls_path}.{position}', call_entry, 'an object'
                )
            )
    return tuple(calls)


def _read_call(entry, path, faults) -> model.Call:
    options.check_known(entry, model.Call.__struct_fields__, faults, path)
    return model.Call(
        method=options.get_choice_opt(entry, 'method', faults, METHODS, path),
        path=options.get_str_opt(entry, 'path', faults, path),
        kind=_read_enum(
            entry,
            'kind',
            faults,
            path,
            states.CallKind,
            states.CallKind.NON_IDEMPOTENT.value,
        ),
        timeout_s=_read_float(
            entry,
            'timeout_s',
            faults,
            path,
            MIN_POSITIVE,
            MAX_DURATION_S,
            10.0,
        ),
    )


def _read_client_account(entry, path, faults) -> model.ClientAccount:
    options.check_known(
        entry, model.ClientAccount.__struct_fields__, faults, path
    )
    return model.ClientAccount(
        key_sha256=_read_key_hash(entry, path, faults),
        services=_read_strings(entry, 'services', faults, path),
        priority=options.get_int_opt(
            entry, 'priority', faults, path, 0, maximum=MAX_PRIORITY
        ),
        rate=_read_float(
            entry, 'rate', faults, path, 0.0, MAX_RATE_PER_S, 10.0
        ),
        burst=_read_float(
            entry, 'burst', faults, path, 1.0, MAX_RATE_PER_S, 20.0
        ),
        weight=_read_float(entry, 'weight', faults, path, 0.001, 1000.0, 1.0),
    )


def _read_key_hash(entry, path, faults) -> str:
    """Read a SHA-256 in hex and return it in lower case.

    The hashes of callers' keys, which are compared with it, are in lower case.
    """
    value = entry.get('key_sha256')
    if not isinstance(value, str) or not KEY_HASH_PATTERN.fullmatch(value):
        faults.append(
            options.Fault(
                f'{path}.key_sha256',
                value,
                'a SHA-256 in 64 hexadecimal digits',
            )
        )
        return ''
    return value.lower()


def _read_float(
    entry, name, faults, path, minimum, maximum, default=options.REQUIRED
):
    value = options.get_float_opt(
        entry, name, faults, path, default, minimum, maximum
    )
    # Turns -0.0 into 0.0: they are equal but differ in the digest.
    return None if value is None else value + 0.0


def _read_enum(entry, name, faults, path, kind, default=options.REQUIRED):
    choices = tuple(member.value for member in kind)
    value = options.get_choice_opt(entry, name, faults, choices, path, default)
    return None if value is None else kind(value)


def _read_name(entry, name, faults, path):
    value = options.get_str_opt(entry, name, faults, path)
    if value is not None and not NAME_PATTERN.fullmatch(value):
        faults.append(options.Fault(f'{path}.{name}', value, NAME_ALLOWED))
    return value


def _read_model_name(entry, faults, path):
    if entry.get('model') is None:
        return None
    return options.get_str_opt(entry, 'model', faults, path, None)


def _read_strings(entry, name, faults, path, default=options.REQUIRED):
    value = entry.get(name)
    if isinstance(value, tuple):
        # ``check`` passes a parsed text, which has tuples instead of lists.
        entry = {name: list(value)}
    strings = options.get_list_opt(entry, name, faults, path, default)
    return tuple(strings or ())
