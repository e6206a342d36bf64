"""What runners may be crashed by in a caller's request."""

from collections.abc import Iterable

from primrosereel import _ids as ids
from primrosereel.gateway import _callers as callers
from primrosereel.routing import _model as model
from primrosereel.routing import blame

__all__ = ['request_cause']


def request_cause(
    request: callers.CallerRequest,
    route: model.Route,
    service: str,
    shared_parts: tuple[ids.PromptPartId, ...],
    caller: Iterable[bytes],
) -> blame.Cause:
    """Return the cause that the request as a whole is.

    ``caller`` identifies the caller: its address and the request's id change
    when the same request comes again. The parts of a prompt are in a header:
    requests that differ in them are not the same.
    """
    kind = blame.CauseKind.PLAIN_CALL
    if route.kind is model.RouteKind.STREAMING:
        kind = blame.CauseKind.GENERATION
    fields = [
        service.encode(),
        request.method,
        request.host.encode('latin-1'),
        request.target,
        request.body,
        b','.join(part.encode() for part in shared_parts),
        *caller,
    ]
    return blame.Cause(kind, blame.request_key(fields))
