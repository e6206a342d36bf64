"""Parses the daemon's settings and reports all their faults together."""

from collections.abc import Mapping
import re

import pyjson5
from returns import result

from primrosereel import _ids as ids
from primrosereel import _options as options
from primrosereel.settings import _model as model

__all__ = ['Faults', 'parse']

Faults = tuple[options.Fault, ...]

LOG_LEVELS = ('debug', 'info', 'warning', 'error')
TOP_LEVEL_KEYS = (
    'instance',
    'incarnation',
    'region',
    'availability_zone',
    'callers',
    'operators',
    'peers',
    'platform',
    'drain',
    'statsd',
    'log_level',
    'secret',
)
# Names must not contain a dot, which separates the parts of a request id.
NAME_PATTERN = re.compile(r'[A-Za-z0-9_-]{1,64}')
SHA256_PATTERN = re.compile(r'[0-9a-f]{64}')


def parse(body: bytes) -> result.Result[model.Settings, Faults]:
    """Parse settings, JSON with comments.

    A failure holds every fault with its path, its value and what is allowed
    there.
    """
    try:
        data = pyjson5.decode(body.decode())
    except (pyjson5.Json5Exception, UnicodeDecodeError, RecursionError) as e:
        fault = options.Fault('settings', str(e), 'JSON with comments')
        return result.Failure((fault,))
    if not isinstance(data, Mapping):
        return result.Failure((options.Fault('settings', data, 'an object'),))
    faults: list[options.Fault] = []
    settings = _read_settings(data, faults)
    if faults:
        return result.Failure(tuple(faults))
    return result.Success(settings)


def _read_settings(data, faults) -> model.Settings:
    options.check_known(data, TOP_LEVEL_KEYS, faults)
    return model.Settings(
        instance=ids.InstanceId(_read_name(data, 'instance', faults)),
        region=ids.Region(_read_name(data, 'region', faults)),
        availability_zone=ids.AvailabilityZone(
            _read_name(data, 'availability_zone', faults)
        ),
        callers=_read_callers(
            _required_section(data, 'callers', faults), faults
        ),
        operators=_read_operators(
            _required_section(data, 'operators', faults), faults
        ),
        peers=_read_peers(_required_section(data, 'peers', faults), faults),
        platform=_read_platform(
            _required_section(data, 'platform', faults), faults
        ),
        drain=_read_drain(_optional_section(data, 'drain', faults), faults),
        incarnation=options.get_int_opt(
            data, 'incarnation', faults, default=None, minimum=1
        ),
        statsd=options.get_address_opt(data, 'statsd', faults, default=None),
        log_level=options.get_choice_opt(
            data, 'log_level', faults, LOG_LEVELS, default='info'
        ),
        secret=options.get_str_opt(data, 'secret', faults, default=None),
    )


def _required_section(data, name, faults) -> Mapping:
    return options.get_mapping_opt(data, name, faults) or {}


def _optional_section(data, name, faults) -> Mapping:
    return options.get_mapping_opt(data, name, faults, '', {})


def _read_name(data, name, faults) -> str:
    value = options.get_str_opt(data, name, faults)
    if value is not None and not NAME_PATTERN.fullmatch(value):
        allowed = 'up to 64 letters, digits, hyphens and underscores'
        faults.append(options.Fault(name, value, allowed))
    return value


def _read_callers(data, faults) -> model.Callers:
    path = 'callers'
    defaults = model.Callers('')
    limits = (
        'max_requests',
        'max_body_bytes',
        'max_header_bytes',
        'max_prompt_tokens',
        'max_output_tokens',
    )
    options.check_known(data, ('address', 'tls', *limits), faults, path)
    values = {
        name: options.get_int_opt(
            data, name, faults, path, getattr(defaults, name), 1, 2**31
        )
        for name in limits
    }
    return model.Callers(
        address=options.get_address_opt(data, 'address', faults, path),
        tls=_read_tls(data, faults, path, mutual=False),
        **values,
    )


def _read_operators(data, faults) -> model.Operators:
    path = 'operators'
    options.check_known(data, ('address', 'token_sha256'), faults, path)
    token = options.get_str_opt(data, 'token_sha256', faults, path, None)
    if token is not None and not SHA256_PATTERN.fullmatch(token):
        allowed = 'a SHA-256 in 64 lower-case hexadecimal digits'
        faults.append(options.Fault(f'{path}.token_sha256', token, allowed))
    address = options.get_address_opt(data, 'address', faults, path)
    return model.Operators(address, token)


def _read_peers(data, faults) -> model.Peers:
    path = 'peers'
    options.check_known(data, ('address', 'tls', 'seeds'), faults, path)
    seeds = options.get_mapping_opt(data, 'seeds', faults, path, {})
    seed_list = []
    for instance in seeds:
        address = options.get_address_opt(
            seeds, instance, faults, f'{path}.seeds'
        )
        seed_list.append(model.Seed(ids.InstanceId(instance), address))
    return model.Peers(
        address=options.get_address_opt(data, 'address', faults, path),
        tls=_read_tls(data, faults, path, mutual=True),
        seeds=tuple(seed_list),
    )


def _read_tls(data, faults, path, mutual: bool) -> model.Tls | None:
    section = options.get_mapping_opt(data, 'tls', faults, path, None)
    if section is None:
        return None
    path = f'{path}.tls'
    names = ('certificate', 'key') + (('authority',) if mutual else ())
    options.check_known(section, names, faults, path)
    values = [
        options.get_str_opt(section, name, faults, path) for name in names
    ]
    return model.Tls(*values)


def _read_platform(data, faults) -> model.Platform:
    path = 'platform'
    options.check_known(data, ('configuration', 'instances'), faults, path)
    return model.Platform(
        _read_url(data, 'configuration', faults, path),
        _read_url(data, 'instances', faults, path),
    )


def _read_url(data, name, faults, path) -> str:
    value = options.get_str_opt(data, name, faults, path)
    if value is None:
        return ''
    scheme, _, rest = value.partition('://')
    if scheme not in ('http', 'https') or not options.is_address(rest):
        allowed = 'a URL such as http://127.0.0.1:9000'
        faults.append(options.Fault(f'{path}.{name}', value, allowed))
    return value


def _read_drain(data, faults) -> model.Drain:
    defaults = model.Drain()
    options.check_known(data, ('grace_s', 'limit_s'), faults, 'drain')
    return model.Drain(
        options.get_float_opt(
            data, 'grace_s', faults, 'drain', defaults.grace_s, 0, 3600
        ),
        options.get_float_opt(
            data, 'limit_s', faults, 'drain', defaults.limit_s, 0, 86400
        ),
    )
