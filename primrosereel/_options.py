"""Helpers that read and check options from JSON data.

Each helper reads one type of value from a mapping. A fault is collected, not
raised, so that all faults of a file are reported together; the helper then
returns the default.

    faults = []
    port = get_int_opt(data, 'port', faults, path='peers', minimum=1)
"""

from collections.abc import Mapping
import ipaddress
from typing import Any
from typing import NamedTuple

__all__ = [
    'Fault',
    'check_known',
    'get_address_opt',
    'get_bool_opt',
    'get_choice_opt',
    'get_float_opt',
    'get_int_opt',
    'get_list_opt',
    'get_mapping_opt',
    'get_str_opt',
    'is_address',
]

REQUIRED: Any = object()


class Fault(NamedTuple):
    """A fault in a file: its path, the value there and what is allowed."""

    path: str
    value: object
    allowed: str

    def __str__(self) -> str:
        return f'{self.path}: got {self.value!r}, expected {self.allowed}'


class Missing:
    """The value of a fault whose option is missing."""

    def __repr__(self) -> str:
        return 'no value'


MISSING = Missing()


def _join(path: str, name: str) -> str:
    return f'{path}.{name}' if path else name


def _read_value(data, name, faults, path, default, allowed, is_valid):
    """Return the value if ``is_valid`` is true for it, else the default."""
    value = data.get(name, MISSING)
    if value is MISSING:
        if default is REQUIRED:
            faults.append(Fault(_join(path, name), value, allowed))
            return None
        return default
    if not is_valid(value):
        faults.append(Fault(_join(path, name), value, allowed))
        return None if default is REQUIRED else default
    return value


def get_str_opt(data, name, faults, path='', default=REQUIRED):
    """Read a non-empty string."""
    return _read_value(
        data,
        name,
        faults,
        path,
        default,
        'a non-empty string',
        lambda v: isinstance(v, str) and v != '',
    )


def get_bool_opt(data, name, faults, path='', default=REQUIRED):
    """Read true or false."""
    return _read_value(
        data,
        name,
        faults,
        path,
        default,
        'true or false',
        lambda v: isinstance(v, bool),
    )


def get_int_opt(
    data, name, faults, path='', default=REQUIRED, minimum=0, maximum=2**63
):
    """Read a whole number from ``minimum`` to ``maximum``."""
    return _read_value(
        data,
        name,
        faults,
        path,
        default,
        f'a whole number from {minimum} to {maximum}',
        lambda v: type(v) is int and minimum <= v <= maximum,
    )


def get_float_opt(
    data, name, faults, path='', default=REQUIRED, minimum=0.0, maximum=1e18
):
    """Read a number from ``minimum`` to ``maximum``."""
    value = _read_value(
        data,
        name,
        faults,
        path,
        default,
        f'a number from {minimum:g} to {maximum:g}',
        lambda v: type(v) in (int, float) and minimum <= v <= maximum,
    )
    return float(value) if type(value) is int else value


def get_choice_opt(data, name, faults, choices, path='', default=REQUIRED):
    """Read one of the given strings."""
    return _read_value(
        data,
        name,
        faults,
        path,
        default,
        f'one of {", ".join(choices)}',
        lambda v: isinstance(v, str) and v in choices,
    )


def get_list_opt(data, name, faults, path='', default=REQUIRED):
    """Read a list of strings."""
    return _read_value(
        data,
        name,
        faults,
        path,
        default,
        'a list of strings',
        lambda v: isinstance(v, list) and all(isinstance(i, str) for i in v),
    )


def get_mapping_opt(data, name, faults, path='', default=REQUIRED):
    """Read an object."""
    return _read_value(
        data,
        name,
        faults,
        path,
        default,
        'an object',
        lambda v: isinstance(v, Mapping),
    )


def is_address(value: object) -> bool:
    """Return whether a value is ``IP:port`` (IPv6 in brackets)."""
    if not isinstance(value, str):
        return False
    host, _, port = value.rpartition(':')
    if not port.isascii() or not port.isdecimal():
        return False
    # int() raises ValueError for thousands of digits.
    if len(port) > 5:
        return False
    if not 0 < int(port) < 65536:
        return False
    try:
        ipaddress.ip_address(host.removeprefix('[').removesuffix(']'))
    except ValueError:
        return False
    return host.startswith('[') == (':' in host)


def get_address_opt(data, name, faults, path='', default=REQUIRED):
    """Read an address: an IP address and a port, no host name."""
    return _read_value(
        data,
        name,
        faults,
        path,
        default,
        'an address such as 127.0.0.1:8000',
        is_address,
    )


def check_known(data, names, faults, path=''):
    """Add a fault for each key of an object that is not a known name."""
    for name in data:
        if name not in names:
            faults.append(
                Fault(_join(path, name), name, f'one of {", ".join(names)}')
            )
