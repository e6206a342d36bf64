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
    'ChatFormatter',
    'CompletionRequest',
    'Formatter',
    'TextFormatter',
    'parse_chat',
    'parse_text',
]

DEFAULT_MAX_TOKENS = 256
# Common tokenizers average about four characters a token; engines report the
# exact number.
CHARACTERS_PER_TOKEN = 4


class CompletionRequest(msgspec.Struct, frozen=True):
    """The parsed request of either interface."""

    service: ids.ServiceId
    prompt: str
    prompt_tokens: int
    max_tokens: int
    stream: bool


class _TextBody(msgspec.Struct):
    """Body of POST /v1/completions; other fields are ignored."""

    model: str
    prompt: str
    max_tokens: int | None = None
    stream: bool = False


class _ContentPart(msgspec.Struct):
    """One part of a chat message's content."""

    type: str
    text: str = ''


class _ChatMessage(msgspec.Struct):
    """One message of a chat."""

    role: str
    content: str | list[_ContentPart] | None = None


class _ChatBody(msgspec.Struct):
    """Body of POST /v1/chat/completions; other fields are ignored."""

    model: str
    messages: list[_ChatMessage]
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False


_TEXT_DECODER = msgspec.json.Decoder(_TextBody)
_CHAT_DECODER = msgspec.json.Decoder(_ChatBody)


def parse_text(body: bytes) -> CompletionRequest:
    """Parse a completions body; raise msgspec.MsgspecError if invalid."""
    parsed = _TEXT_DECODER.decode(body)
    return _completion_request(
        parsed.model, parsed.prompt, parsed.max_tokens, parsed.stream
    )


def parse_chat(body: bytes) -> CompletionRequest:
    """Parse a chat body; raise msgspec.MsgspecError if invalid."""
    parsed = _CHAT_DECODER.decode(body)
    prompt = '\n'.join(
        f'{m.role}: {_content_text(m)}' for m in parsed.messages
    )
    limit = parsed.max_completion_tokens or parsed.max_tokens
    return _completion_request(parsed.model, prompt, limit, parsed.stream)


def _content_text(message: _ChatMessage) -> str:
    if isinstance(message.content, list):
        return ''.join(part.text for part in message.content)
    return message.content or ''


def _completion_request(
    model: str, prompt: str, limit: int | None, stream: bool
) -> CompletionRequest:
    max_tokens = DEFAULT_MAX_TOKENS if limit is None else limit
    if max_tokens < 1:
        raise msgspec.ValidationError('max_tokens must be at least 1')
    return CompletionRequest(
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

    def response(
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
        self._common_fields: dict[str, Any] = {
            'id': f'cmpl-{request}',
            'object': 'text_completion',
            'created': created,
            'model': model,
        }

    def chunk(self, tokens: Sequence[str], finish: str | None) -> bytes:
        """Return the data of one server-sent event."""
        return self._encode(''.join(tokens), finish, {})

    def response(
        self, text: str, finish: str, prompt_tokens: int, output_tokens: int
    ) -> bytes:
        """Return the body of a response that is not streamed."""
        usage = {'usage': _usage(prompt_tokens, output_tokens)}
        return self._encode(text, finish, usage)

    def _encode(
        self, text: str, finish: str | None, extra_fields: dict
    ) -> bytes:
        choice = {'index': 0, 'text': text, 'finish_reason': finish}
        return msgspec.json.encode(
            {**self._common_fields, 'choices': [choice], **extra_fields}
        )


class ChatFormatter:
    """Builds responses to POST /v1/chat/completions."""

    def __init__(self, request: str, model: str, created: int) -> None:
        self._common_fields: dict[str, Any] = {
            'id': f'chatcmpl-{request}',
            'created': created,
            'model': model,
        }
        self._first_chunk = True

    def chunk(self, tokens: Sequence[str], finish: str | None) -> bytes:
        """Return the data of one server-sent event."""
        delta: dict[str, str] = {}
        if self._first_chunk:
            delta['role'] = 'assistant'
            self._first_chunk = False
        if tokens:
            delta['content'] = ''.join(tokens)
        choice = {'index': 0, 'delta': delta, 'finish_reason': finish}
        return msgspec.json.encode(
            {
                **self._common_fields,
                'object': 'chat.completion.chunk',
                'choices': [choice],
            }
        )

    def response(
        self, text: str, finish: str, prompt_tokens: int, output_tokens: int
    ) -> bytes:
        """Return the body of a response that is not streamed."""
        message = {'role': 'assistant', 'content': text}
        choice = {'index': 0, 'message': message, 'finish_reason': finish}
        return msgspec.json.encode(
            {
                **self._common_fields,
                'object': 'chat.completion',
                'choices': [choice],
                'usage': _usage(prompt_tokens, output_tokens),
            }
        )
