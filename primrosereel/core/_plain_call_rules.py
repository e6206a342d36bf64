"""Matches requests against the configured calls of a plain service."""

import urllib.parse

from primrosereel import text as text_module

__all__ = ['match']


def match(
    service: text_module.Service, method: str, path: str
) -> text_module.Call | None:
    """Return the call with the longest path prefix, or None.

    A prefix ends at a segment: ``/fees`` covers ``/fees/7`` and not
    ``/fees-due``. Paths that a service may resolve to another path have no
    match, since a non-idempotent call could be taken for an idempotent one.
    """
    bare_path = path.partition('?')[0].partition('#')[0]
    if _is_ambiguous(bare_path):
        return None
    matches = [
        call
        for call in service.calls
        if call.method == method and _covers(call.path, bare_path)
    ]
    return max(matches, key=lambda c: len(c.path), default=None)


def _covers(prefix: str, path: str) -> bool:
    stem = prefix.rstrip('/')
    return path in (prefix, stem) or path.startswith(f'{stem}/')


def _is_ambiguous(path: str) -> bool:
    """Return whether a service could resolve the path to another one."""
    decoded = urllib.parse.unquote(path)
    if path.count('/') != decoded.count('/') or '\\' in decoded:
        return True
    segments = decoded.split('/')
    inner = segments[1:-1]
    return any(s in ('.', '..') for s in segments) or '' in inner
