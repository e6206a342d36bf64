"""Peer messages over gRPC: one method, MessagePack in both directions.

Generic handlers with msgspec as codec need no generated code. grpc.aio works
on asyncio only, so the daemon runs anyio on its asyncio back end.
"""

from collections.abc import Callable
from collections.abc import Sequence
import typing

import anyio
import anyio.abc
import grpc
import grpc.aio
import msgspec

from primrosereel import _ids as ids
from primrosereel import settings as settings_module
from primrosereel.core import _messages as messages
from primrosereel.daemon import _protocols as protocols

__all__ = ['Envelope', 'GrpcPeerTransport', 'PeerServer', 'decode', 'encode']

SERVICE_NAME = 'primrosereel.Peer'
METHOD_PATH = f'/{SERVICE_NAME}/Exchange'
CALL_TIMEOUT_S = 1.0
# A channel whose call timed out is replaced at most once in this interval, so
# that a slow peer does not get a new connection for each timeout.
MIN_REPLACE_INTERVAL_S = 1.0
MAX_CALLS_PER_PEER = 4
MAX_QUEUED_MESSAGES = 4096
CHANNEL_OPTIONS = (
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.min_reconnect_backoff_ms', 100),
    ('grpc.max_reconnect_backoff_ms', 1000),
    ('grpc.enable_retries', 0),
)

# The tagged union of all peer messages, which msgspec needs for decoding.
AnyPeerMessage: typing.Any = typing.Union[  # noqa: UP007
    tuple(messages.PeerMessage.__subclasses__())
]


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A batch of messages with its sender."""

    sender: ids.InstanceId
    incarnation: ids.Incarnation
    messages: list[AnyPeerMessage]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Envelope)


def encode(envelope: Envelope) -> bytes:
    """Encode a batch for the wire."""
    return _ENCODER.encode(envelope)


def decode(body: bytes) -> Envelope:
    """Decode a batch; raise msgspec.MsgspecError if it is invalid."""
    return _DECODER.decode(body)


class _PeerConnection:
    """The channel to one peer and the queue of messages for it."""

    def __init__(self, address: str, channel: grpc.aio.Channel) -> None:
        self.address = address
        self.channel = channel
        self.call = channel.unary_unary(METHOD_PATH)
        self.queue: list[messages.PeerMessage] = []
        self.running_calls = 0
        self.replaced_at = -MIN_REPLACE_INTERVAL_S


class GrpcPeerTransport:
    """Sends messages to peers; a batch holds all that are queued."""

    def __init__(
        self,
        instance: ids.InstanceId,
        incarnation: ids.Incarnation,
        tasks: anyio.abc.TaskGroup,
        clock: protocols.Clock,
        deliver: protocols.Deliver,
        tls: settings_module.Tls | None = None,
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._tasks = tasks
        self._clock = clock
        self._deliver = deliver
        self._credentials = None if tls is None else _client_credentials(tls)
        self._connections: dict[ids.InstanceId, _PeerConnection] = {}

    def send(
        self,
        peer: ids.InstanceId,
        address: str,
        outgoing: Sequence[messages.PeerMessage],
    ) -> None:
        """Queue messages; replies or PeerFailed are delivered later."""
        connection = self._connections.get(peer)
        if connection is None or connection.address != address:
            if connection is not None:
                self._tasks.start_soon(self._close_replaced, connection)
            connection = _PeerConnection(address, self._channel(peer, address))
            self._connections[peer] = connection
        if len(connection.queue) + len(outgoing) > MAX_QUEUED_MESSAGES:
            self._deliver(messages.PeerFailed(peer, tuple(outgoing)))
            return
        connection.queue.extend(outgoing)
        if connection.running_calls < MAX_CALLS_PER_PEER:
            connection.running_calls += 1
            self._tasks.start_soon(self._send_queued, peer, connection)

    async def close(self) -> None:
        """Close every connection."""
        for connection in self._connections.values():
            await connection.channel.close()

    def _channel(self, peer, address: str) -> grpc.aio.Channel:
        if self._credentials is None:
            return grpc.aio.insecure_channel(address, CHANNEL_OPTIONS)
        # Certificates name the instance instead of its address.
        options = (*CHANNEL_OPTIONS, ('grpc.ssl_target_name_override', peer))
        return grpc.aio.secure_channel(address, self._credentials, options)

    async def _close_replaced(self, connection: _PeerConnection) -> None:
        """Close the channel to an address that the peer no longer has."""
        await connection.channel.close(grace=CALL_TIMEOUT_S)

    async def _send_queued(
        self, peer: ids.InstanceId, connection: _PeerConnection
    ) -> None:
        try:
            while connection.queue:
                batch, connection.queue = connection.queue, []
                await self._exchange(peer, connection, batch)
        finally:
            connection.running_calls -= 1

    async def _exchange(
        self, peer, connection: _PeerConnection, batch
    ) -> None:
        envelope = Envelope(self._instance, self._incarnation, batch)
        try:
            body = await connection.call(
                encode(envelope), timeout=CALL_TIMEOUT_S
            )
            reply = decode(body)
        except (grpc.aio.AioRpcError, msgspec.MsgspecError) as error:
            if _timed_out(error):
                await self._replace_channel(peer, connection)
            self._deliver(messages.PeerFailed(peer, tuple(batch)))
            return
        if reply.sender != peer:
            self._deliver(messages.PeerFailed(peer, tuple(batch)))
            return
        for message in reply.messages:
            self._deliver(
                messages.FromPeer(reply.sender, reply.incarnation, message)
            )

    async def _replace_channel(
        self, peer, connection: _PeerConnection
    ) -> None:
        """Replace a channel whose connection may be dead but not closed."""
        now = self._clock.monotonic()
        if now - connection.replaced_at < MIN_REPLACE_INTERVAL_S:
            return
        connection.replaced_at = now
        old, connection.channel = (
            connection.channel,
            self._channel(peer, connection.address),
        )
        connection.call = connection.channel.unary_unary(METHOD_PATH)
        await old.close()


class PeerServer:
    """Receives messages from peers."""

    def __init__(
        self,
        instance: ids.InstanceId,
        incarnation: ids.Incarnation,
        exchange: Callable[[Envelope], list[messages.PeerMessage]],
        tls: settings_module.Tls | None = None,
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._exchange = exchange
        self._tls = tls
        self._server = grpc.aio.server()
        handler = grpc.unary_unary_rpc_method_handler(self._handle)
        self._server.add_generic_rpc_handlers(
            (
                grpc.method_handlers_generic_handler(
                    SERVICE_NAME, {'Exchange': handler}
                ),
            )
        )

    async def start(self, address: str) -> int:
        """Listen on an address and return the port."""
        if self._tls is None:
            port = self._server.add_insecure_port(address)
        else:
            credentials = _server_credentials(self._tls)
            port = self._server.add_secure_port(address, credentials)
        await self._server.start()
        return port

    async def stop(self, grace_s: float) -> None:
        """Stop accepting calls and wait for those in progress."""
        await self._server.stop(grace_s)

    async def _handle(self, body: bytes, context) -> bytes:
        try:
            envelope = decode(body)
        except msgspec.MsgspecError:
            await context.abort(
                grpc.StatusCode.INVALID_ARGUMENT, 'not a batch of messages'
            )
        if self._tls is not None and not _certificate_names(
            context, envelope.sender
        ):
            await context.abort(
                grpc.StatusCode.PERMISSION_DENIED,
                'the certificate does not name the sender',
            )
        replies = self._exchange(envelope)
        return encode(Envelope(self._instance, self._incarnation, replies))


def _certificate_names(context, sender: ids.InstanceId) -> bool:
    """Tell whether the peer's certificate names the sender."""
    auth_context = context.auth_context()
    names = auth_context.get('x509_subject_alternative_name', [])
    return sender.encode() in names


def _timed_out(error: Exception) -> bool:
    return (
        isinstance(error, grpc.aio.AioRpcError)
        and error.code() is grpc.StatusCode.DEADLINE_EXCEEDED
    )


def _read_file(path: str) -> bytes:
    with open(path, 'rb') as file:
        return file.read()


def _client_credentials(tls: settings_module.Tls) -> grpc.ChannelCredentials:
    return grpc.ssl_channel_credentials(
        _read_file(tls.authority or tls.certificate),
        _read_file(tls.key),
        _read_file(tls.certificate),
    )


def _server_credentials(tls: settings_module.Tls) -> grpc.ServerCredentials:
    return grpc.ssl_server_credentials(
        [(_read_file(tls.key), _read_file(tls.certificate))],
        _read_file(tls.authority or tls.certificate),
        require_client_auth=True,
    )
