"""Request parsing and response formatting of the completions interfaces.

Requests of both interfaces become the same core message; a formatter per
interface builds the responses.
"""

from collections.abc import Sequence
from typing import Any
from typing import Protocol

import msgspec

from primrosereel import _ids as ids

__all__ = [
    'Body',
    'ChatFormatter',
    'Formatter',
    'TextFormatter',
    'parse_chat',
    'parse_text',
]

DEFAULT_MAX_TOKENS = 256
# Common tokenizers average about four characters a token; engines report the
# exact number.
CHARACTERS_PER_TOKEN = 4


class Body(msgspec.Struct, frozen=True):
    """The parsed request of either interface."""

    service: ids.ServiceId
    prompt: str
    prompt_tokens: int
    max_tokens: int
    stream: bool


class _Text(msgspec.Struct):
    """Body of POST /v1/completions; other fields are ignored."""

    model: str
    prompt: str
    max_tokens: int | None = None
    stream: bool = False


class _Part(msgspec.Struct):
    """One part of a chat message's content."""

    type: str
    text: str = ''


class _ChatMessage(msgspec.Struct):
    """One message of a chat."""

    role: str
    content: str | list[_Part] | None = None


class _Chat(msgspec.Struct):
    """Body of POST /v1/chat/completions; other fields are ignored."""

    model: str
    messages: list[_ChatMessage]
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False


_TEXT = msgspec.json.Decoder(_Text)
_CHAT = msgspec.json.Decoder(_Chat)


def parse_text(body: bytes) -> Body:
    """Parse a completions body; raise msgspec.MsgspecError if invalid."""
    found = _TEXT.decode(body)
    return _body(found.model, found.prompt, found.max_tokens, found.stream)


def parse_chat(body: bytes) -> Body:
    """Parse a chat body; raise msgspec.MsgspecError if invalid."""
    found = _CHAT.decode(body)
    prompt = '\n'.join(f'{m.role}: {_content(m)}' for m in found.messages)
    limit = found.max_completion_tokens or found.max_tokens
    return _body(found.model, prompt, limit, found.stream)


def _content(message: _ChatMessage) -> str:
    if isinstance(message.content, list):
        return ''.join(part.text for part in message.content)
    return message.content or ''


def _body(model: str, prompt: str, limit: int | None, stream: bool) -> Body:
    max_tokens = DEFAULT_MAX_TOKENS if limit is None else limit
    if max_tokens < 1:
        raise msgspec.ValidationError('max_tokens must be at least 1')
    return Body(
        ids.ServiceId(model),
        prompt,
        -(-len(prompt) // CHARACTERS_PER_TOKEN),
        max_tokens,
        stream,
    )


class Formatter(Protocol):
    """Builds the responses of one interface."""

    def chunk(self, tokens: Sequence[str], finish: str | None) -> bytes:
        """Return the data of one server-sent event."""

    def whole(
        self, text: str, finish: str, prompt_tokens: int, output_tokens: int
    ) -> bytes:
        """Return the body of a response that is not streamed."""


def _usage(prompt_tokens: int, output_tokens: int) -> dict[str, int]:
    return {
        'prompt_tokens': prompt_tokens,
        'completion_tokens': output_tokens,
        'total_tokens': prompt_tokens + output_tokens,
    }


class TextFormatter:
    """Builds responses to POST /v1/completions."""

    def __init__(self, request: str, model: str, created: int) -> None:
        self._base: dict[str, Any] = {
            'id': f'cmpl-{request}',
            'object': 'text_completion',
            'created': created,
            'model': model,
        }

    def chunk(self, tokens: Sequence[str], finish: str | None) -> bytes:
        """Return the data of one server-sent event."""
        return self._encode(''.join(tokens), finish, {})

    def whole(
        self, text: str, finish: str, prompt_tokens: int, output_tokens: int
    ) -> bytes:
        """Return the body of a response that is not streamed."""
        usage = {'usage': _usage(prompt_tokens, output_tokens)}
        return self._encode(text, finish, usage)

    def _encode(self, text: str, finish: str | None, more: dict) -> bytes:
        choice = {'index': 0, 'text': text, 'finish_reason': finish}
        return msgspec.json.encode({**self._base, 'choices': [choice], **more})


class ChatFormatter:
    """Builds responses to POST /v1/chat/completions."""

    def __init__(self, request: str, model: str, created: int) -> None:
        self._base: dict[str, Any] = {
            'id': f'chatcmpl-{request}',
            'created': created,
            'model': model,
        }
        self._first = True

    def chunk(self, tokens: Sequence[str], finish: str | None) -> bytes:
        """Return the data of one server-sent event."""
        delta: dict[str, str] = {}
        if self._first:
            delta['role'] = 'assistant'
            self._first = False
        if tokens:
            delta['content'] = ''.join(tokens)
        choice = {'index': 0, 'delta': delta, 'finish_reason': finish}
        return msgspec.json.encode(
            {
                **self._base,
                'object': 'chat.completion.chunk',
                'choices': [choice],
            }
        )

    def whole(
        self, text: str, finish: str, prompt_tokens: int, output_tokens: int
    ) -> bytes:
        """Return the body of a response that is not streamed."""
        message = {'role': 'assistant', 'content': text}
        choice = {'index': 0, 'message': message, 'finish_reason': finish}
        return msgspec.json.encode(
            {
                **self._base,
                'object': 'chat.completion',
                'choices': [choice],
                'usage': _usage(prompt_tokens, output_tokens),
            }
        )
