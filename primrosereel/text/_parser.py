"""Parses and checks the operators' text, which is JSON with comments."""

import msgspec
import pyjson5
from returns import result

from primrosereel import _options as options
from primrosereel.text import _checker as checker
from primrosereel.text import _fields as fields
from primrosereel.text import _model as model

__all__ = ['MAX_BODY_BYTES', 'check', 'parse']

Faults = tuple[options.Fault, ...]

# The configuration service holds values up to 1 MB.
MAX_BODY_BYTES = 1_000_000
# A valid text nests at most five levels of objects.
MAX_DEPTH = 16
# A document of another kind may have a fault for each of its values.
MAX_FAULTS = 1000
MAX_SHOWN_CHARACTERS = 200


def parse(body: bytes) -> result.Result[model.Text, Faults]:
    """Return the text, or its faults; no input makes it raise.

    Example::

        match parse(b'{models: {}, services: {}, client_accounts: {}}'):
            case result.Success(text): ...
            case result.Failure(faults): ...
    """
    if len(body) > MAX_BODY_BYTES:
        return _failure(
            f'{len(body)} bytes', f'at most {MAX_BODY_BYTES} bytes'
        )
    try:
        data = pyjson5.decode(body.decode(), maxdepth=MAX_DEPTH)
    except UnicodeDecodeError as error:
        return _failure(f'byte {error.start}', 'UTF-8')
    except pyjson5.Json5Exception as error:
        return _failure(str(error.args[0]), 'JSON with comments')
    except (ArithmeticError, RecursionError, ValueError) as error:
        return _failure(str(error), 'JSON with comments')
    return _read_and_check(data)


def check(text: model.Text, accepted: model.Text | None = None) -> Faults:
    """Return the faults of a text that was not read by ``parse``.

    Structures that the text shares with an ``accepted`` one are not read
    again: a full check of 1,400 runners blocks the event loop, and with it
    all token streams, for tens of milliseconds.
    """
    faults: list[options.Fault] = []
    changed = text if accepted is None else _changed_part(text, accepted)
    fields.read_text(msgspec.to_builtins(changed), faults)
    if not faults:
        checker.check_references(text, faults)
    return _limit_faults(faults)


def _changed_part(text: model.Text, accepted: model.Text) -> model.Text:
    """Return the part of a text that it does not share with another."""
    services = {}
    for name, service in _unshared(text.services, accepted.services).items():
        previous = accepted.services.get(name)
        if previous is not None:
            runners = _unshared(service.runners, previous.runners)
            service = msgspec.structs.replace(service, runners=runners)
        services[name] = service
    return model.Text(
        _unshared(text.models, accepted.models),
        services,
        _unshared(text.client_accounts, accepted.client_accounts),
    )


def _unshared(entries, accepted):
    return {
        name: entry
        for name, entry in entries.items()
        if accepted.get(name) is not entry
    }


def _read_and_check(data: object) -> result.Result[model.Text, Faults]:
    faults: list[options.Fault] = []
    text = fields.read_text(data, faults)
    checker.check_references(text, faults)
    if not faults:
        return result.Success(text)
    return result.Failure(_limit_faults(faults))


def _limit_faults(faults: list[options.Fault]) -> Faults:
    omitted = len(faults) - MAX_FAULTS
    reported = [_shorten_fault(fault) for fault in faults[:MAX_FAULTS]]
    if omitted > 0:
        reported.append(
            options.Fault('', f'{omitted} more faults', 'no faults')
        )
    return tuple(reported)


def _failure(value: str, allowed: str) -> result.Result[model.Text, Faults]:
    return result.Failure(
        (options.Fault('', value[:MAX_SHOWN_CHARACTERS], allowed),)
    )


def _shorten_fault(fault: options.Fault) -> options.Fault:
    """Return the fault, shortened to fit a log line."""
    return options.Fault(
        fault.path[:MAX_SHOWN_CHARACTERS],
        _shorten_value(fault.value),
        fault.allowed,
    )


def _shorten_value(value: object) -> object:
    if isinstance(value, str):
        return value[:MAX_SHOWN_CHARACTERS]
    if isinstance(value, int) and abs(value) >= 2**64:
        return 'a number of 2**64 or more'
    if isinstance(value, (list, tuple)):
        return f'a list of {len(value)} items'
    if isinstance(value, dict):
        return f'an object of {len(value)} keys'
    return value
