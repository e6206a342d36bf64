"""Differences between two texts, and the encoding of whole texts.

A difference lists changed paths::

    ('models', 'm')                              a model
    ('client_accounts', 'c')                     a client account
    ('services', 's')                            a whole service
    ('services', 's', 'calls')                   one field of a service
    ('services', 's', 'runners', 'r')            one runner

Each path has its new value in MessagePack, or None where it is removed.
Applying a difference to the old text gives the new one; the digest of the
result shows whether both sides hold the same text. Structures that no path
changes are shared between the old and the new text.
"""

from collections.abc import Mapping
from typing import Any
from typing import TypeVar

import msgspec
from returns import result
import xxhash

from primrosereel.text import _model as model

__all__ = [
    'Change',
    'Difference',
    'apply',
    'decode',
    'decode_text',
    'difference',
    'digest',
    'encode',
    'encode_text',
]

Value = TypeVar('Value')
Path = tuple[str, ...]


class Change(msgspec.Struct, frozen=True, array_like=True):
    """A path and its new value in MessagePack; None removes the path."""

    path: Path
    value: bytes | None = None


class Difference(msgspec.Struct, frozen=True, array_like=True):
    """The changes that turn one text into another."""

    changes: tuple[Change, ...]


class ChangeError(ValueError):
    """A change has an unknown path or does not fit the text."""


# Sorted keys, so that equal texts have equal encodings.
ENCODER = msgspec.msgpack.Encoder(order='deterministic')
DIFFERENCE_DECODER = msgspec.msgpack.Decoder(Difference)
TEXT_DECODER = msgspec.msgpack.Decoder(model.Text)
SECTION_DECODERS: dict[str, msgspec.msgpack.Decoder[Any]] = {
    'models': msgspec.msgpack.Decoder(model.Model),
    'services': msgspec.msgpack.Decoder(model.Service),
    'client_accounts': msgspec.msgpack.Decoder(model.ClientAccount),
}
RUNNER_DECODER = msgspec.msgpack.Decoder(model.Runner)
FIELD_DECODERS: dict[str, msgspec.msgpack.Decoder[Any]] = {
    field.name: msgspec.msgpack.Decoder(field.type)
    for field in msgspec.structs.fields(model.Service)
    if field.name != 'runners'
}


def difference(old: model.Text, new: model.Text) -> Difference:
    """Return the changes from ``old`` to ``new``."""
    changes: list[Change] = []
    _compare_entries(('models',), old.models, new.models, changes)
    _compare_services(old.services, new.services, changes)
    _compare_entries(
        ('client_accounts',), old.client_accounts, new.client_accounts, changes
    )
    return Difference(tuple(changes))


def apply(
    text: model.Text, delta: Difference
) -> result.Result[model.Text, str]:
    """Return the changed text, or why the difference does not apply."""
    editor = _Editor(text)
    try:
        for change in delta.changes:
            editor.apply_change(change)
    except (ChangeError, msgspec.MsgspecError) as error:
        return result.Failure(str(error))
    return result.Success(editor.text())


def encode(delta: Difference) -> bytes:
    """Return the MessagePack of a difference."""
    return ENCODER.encode(delta)


def decode(body: bytes) -> result.Result[Difference, str]:
    """Return the difference that ``encode`` wrote."""
    try:
        return result.Success(DIFFERENCE_DECODER.decode(body))
    except (msgspec.MsgspecError, RecursionError) as error:
        return result.Failure(str(error))


def encode_text(text: model.Text) -> bytes:
    """Return the canonical MessagePack of a text."""
    return ENCODER.encode(text)


def decode_text(body: bytes) -> result.Result[model.Text, str]:
    """Return the text that ``encode_text`` wrote, without checking it."""
    try:
        return result.Success(TEXT_DECODER.decode(body))
    except (msgspec.MsgspecError, RecursionError) as error:
        return result.Failure(str(error))


def digest(text: model.Text) -> int:
    """Return a 64-bit hash of the text's canonical encoding."""
    return xxhash.xxh3_64_intdigest(encode_text(text))


def _compare_entries(
    path: Path,
    old: Mapping[Any, Any],
    new: Mapping[Any, Any],
    changes: list[Change],
) -> None:
    for name in old:
        if name not in new:
            changes.append(Change((*path, name)))
    for name, entry in new.items():
        previous = old.get(name)
        if previous is not entry and previous != entry:
            changes.append(Change((*path, name), ENCODER.encode(entry)))


def _compare_services(old, new, changes: list[Change]) -> None:
    for name in old:
        if name not in new:
            changes.append(Change(('services', name)))
    for name, service in new.items():
        previous = old.get(name)
        path = ('services', name)
        if previous is None:
            changes.append(Change(path, ENCODER.encode(service)))
        elif previous is not service:
            _compare_service(path, previous, service, changes)


def _compare_service(path, old, new, changes: list[Change]) -> None:
    for field in FIELD_DECODERS:
        value = getattr(new, field)
        if getattr(old, field) != value:
            changes.append(Change((*path, field), ENCODER.encode(value)))
    _compare_entries((*path, 'runners'), old.runners, new.runners, changes)


class _Editor:
    """Applies changes to a text; it copies only the mappings that change."""

    def __init__(self, text: model.Text) -> None:
        self._sections: dict[str, dict[Any, Any]] = {
            'models': dict(text.models),
            'services': dict(text.services),
            'client_accounts': dict(text.client_accounts),
        }
        self._runners: dict[str, dict[Any, Any]] = {}

    def text(self) -> model.Text:
        """Return the edited text."""
        services = self._sections['services']
        for name, runners in self._runners.items():
            services[name] = msgspec.structs.replace(
                services[name], runners=runners
            )
        return model.Text(**self._sections)

    def apply_change(self, change: Change) -> None:
        """Apply one change; raise ChangeError if it does not fit."""
        match change.path:
            case (section, name) if section in SECTION_DECODERS:
                if section == 'services':
                    self._runners.pop(name, None)
                _set_or_remove(
                    self._sections[section],
                    name,
                    change,
                    SECTION_DECODERS[section],
                )
            case ('services', name, field) if field in FIELD_DECODERS:
                self._set_field(name, field, change)
            case ('services', name, 'runners', runner):
                _set_or_remove(
                    self._runners_of(name), runner, change, RUNNER_DECODER
                )
            case _:
                raise ChangeError(f'unknown path: {change.path!r}'[:200])

    def _set_field(self, name: str, field: str, change: Change) -> None:
        if change.value is None:
            raise ChangeError(f'service field {field} cannot be removed')
        service = self._service(name)
        value = FIELD_DECODERS[field].decode(change.value)
        self._sections['services'][name] = msgspec.structs.replace(
            service, **{field: value}
        )

    def _runners_of(self, name: str) -> dict[Any, Any]:
        if name not in self._runners:
            self._runners[name] = dict(self._service(name).runners)
        return self._runners[name]

    def _service(self, name: str) -> model.Service:
        service = self._sections['services'].get(name)
        if service is None:
            raise ChangeError(f'unknown service: {name!r}'[:200])
        return service


def _set_or_remove(
    entries: dict[Any, Value],
    name: str,
    change: Change,
    decoder: msgspec.msgpack.Decoder[Value],
) -> None:
    if change.value is not None:
        entries[name] = decoder.decode(change.value)
    elif entries.pop(name, None) is None:
        raise ChangeError(
            f'path to remove does not exist: {change.path!r}'[:200]
        )
