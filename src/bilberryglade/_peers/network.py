"""Sockets between instances: CURVE for members alone, bounded queues."""

import asyncio
import re
import typing
from collections import abc

import loguru
import result
import zmq
from zmq import asyncio as zmq_asyncio
from zmq.auth import asyncio as zap

from bilberryglade._codec import codec
from bilberryglade._peers import handlers, receiving
from bilberryglade._values import clock
from bilberryglade_schema import peer, settings

MAX_MESSAGE_BYTES: typing.Final = 20_971_520
#: Time between two heartbeats of the side that connects, and for their answer:
#: a connection that fell silent is given up before its peer counts as in reach
#: again. The other side only answers, since heartbeats grow with the square of
#: the instances.
HEARTBEAT_MS: typing.Final = 1000
HEARTBEAT_TIMEOUT_MS: typing.Final = 1500
#: Silence after which the side that answers drops a connection; in steps of
#: 100 ms.
HEARTBEAT_TTL_MS: typing.Final = 3000
LINGER_MS: typing.Final = 0
#: Longest wait for a connection: the system would ask again only after ever
#: longer pauses, long after a partition has healed.
CONNECT_MS: typing.Final = 500
#: Pause before the next try, at first and at most.
RECONNECT_MS: typing.Final = 100
LONGEST_RECONNECT_MS: typing.Final = 400
#: Longest time for which messages are taken before others of the loop run.
TURN_SECONDS: typing.Final = 0.01
#: Unusable addresses that are told of.
MOST_UNUSABLE: typing.Final = 50

#: A socket whose calls return at once.
PlainSocket: typing.TypeAlias = zmq.Socket[bytes]
#: How a message begins whose first field is a short kind: a small map, the
#: name of the field, and a text of less than 32 bytes.
KIND: typing.Final = re.compile(rb'[\x80-\x8f]\xa4kind([\xa0-\xbf])', re.DOTALL)
LONGEST_KIND: typing.Final = 31


class Received(typing.NamedTuple):
    """A decoded message and the handler of its kind."""

    handler: handlers.Handler
    message: typing.Any


class Rejected(typing.NamedTuple):
    """A message from the network that was counted and skipped."""

    cause: str


class Sent(typing.NamedTuple):
    """Messages of one kind that were sent."""

    messages: int = 0
    #: Bytes before encryption and framing.
    size: int = 0


class PeerNetwork:
    """Receives on one ROUTER socket, sends on one DEALER socket a peer."""

    def __init__(
        self,
        address: str,
        keys: settings.PeerSettings,
        queue_length: int,
    ) -> None:
        """Prepares sockets; `address` is an IP number and a port."""
        self.address = address
        self.keys = keys
        self.queue_length = queue_length
        self.context = zmq_asyncio.Context(io_threads=1)
        self.authenticator = zap.AsyncioAuthenticator(self.context)
        self.receiver = receiving.ReceivingSocket(self.context, zmq.ROUTER)
        self.senders: dict[str, PlainSocket] = {}
        self.sent_messages = 0
        #: Before encryption and framing.
        self.sent_bytes = 0
        #: The same by kind of message.
        self.sent_kinds: dict[str, Sent] = {}
        #: Addresses that no socket takes, which were told.
        self.unusable: set[str] = set()
        #: Seconds at which others of the loop get a turn, whatever has come.
        self.turn_ends_at: float = 0

    def open(self) -> None:
        """Binds the receiving socket; only holders of the fleet's key pass."""
        self.authenticator.start()
        self.authenticator.configure_curve_callback(
            domain='*',
            credentials_provider=self,
        )
        self.receiver.curve_server = True
        self._secure(self.receiver)
        self._bound(self.receiver)
        self.receiver.bind(f'tcp://{self.address}')

    def callback(self, domain: str, key: bytes) -> bool:
        """Tells the authenticator whether a client's public key is known."""
        return key == self._public_key()

    def send(self, address: str, message: abc.Mapping[str, object]) -> bool:
        """Queues a message for the peer at `address`.

        Returns False if the peer's queue is full, or if nobody can be at the
        address; nothing was sent then.
        """
        return self._send_encoded(
            address, str(message['kind']), codec.encode_packed(message)
        )

    def send_all(
        self,
        addresses: abc.Iterable[str],
        message: abc.Mapping[str, object],
    ) -> None:
        """Queues a message for many peers, encoded once."""
        kind = str(message['kind'])
        raw = codec.encode_packed(message)
        for address in addresses:
            self._send_encoded(address, kind, raw)

    async def receive(
        self,
    ) -> result.Result[Received, Rejected]:
        """Returns the next message with its handler, or why it is skipped.

        Waiting for one that has come already does not suspend, so that messages
        which come faster than they are handled would keep the loop to themselves.
        """
        arriving: asyncio.Future[list[bytes]] = asyncio.ensure_future(
            self.receiver.recv_multipart()
        )
        is_turn_over = not arriving.done() or clock.now() > self.turn_ends_at
        if is_turn_over and arriving.done():
            await asyncio.sleep(0)
        frames = await arriving
        if is_turn_over:
            self.turn_ends_at = clock.now() + TURN_SECONDS
        return _read(frames[-1])

    def forget(self, addresses: abc.Container[str]) -> None:
        """Closes the sending sockets of peers that are not in `addresses`."""
        for address in list(self.senders):
            if address not in addresses:
                self.senders.pop(address).close(LINGER_MS)

    def close(self) -> None:
        """Closes all sockets without waiting."""
        self.forget(())
        self.receiver.close(LINGER_MS)
        self.authenticator.stop()
        self.context.destroy(LINGER_MS)

    def _send_encoded(self, address: str, kind: str, raw: bytes) -> bool:
        sender = self.senders.get(address) or self._connect(address)
        if sender is None:
            return False
        try:
            sender.send(raw, zmq.NOBLOCK)
        except zmq.Again:
            return False
        self.sent_messages += 1
        self.sent_bytes += len(raw)
        known = self.sent_kinds.get(kind, Sent())
        self.sent_kinds[kind] = Sent(known.messages + 1, known.size + len(raw))
        return True

    def _connect(self, address: str) -> PlainSocket | None:
        """Returns a new socket; None if no socket takes the address."""
        sender: PlainSocket = zmq.Socket(self.context, zmq.DEALER)
        sender.curve_serverkey = self._public_key()
        self._secure(sender)
        self._bound(sender)
        sender.heartbeat_ivl = HEARTBEAT_MS
        sender.heartbeat_timeout = HEARTBEAT_TIMEOUT_MS
        sender.heartbeat_ttl = HEARTBEAT_TTL_MS
        sender.connect_timeout = CONNECT_MS
        sender.reconnect_ivl = RECONNECT_MS
        sender.reconnect_ivl_max = LONGEST_RECONNECT_MS
        try:
            sender.connect(f'tcp://{address}')
        except zmq.ZMQError as error:
            sender.close(LINGER_MS)
            self._note_unusable(address, error)
            return None
        self.senders[address] = sender
        return sender

    def _note_unusable(self, address: str, error: zmq.ZMQError) -> None:
        """Writes a line for an address that is none, so many in all."""
        if address in self.unusable or len(self.unusable) >= MOST_UNUSABLE:
            return
        self.unusable.add(address)
        loguru.logger.warning('no peer can be at {!r}: {}', address, error)

    def _secure(self, socket: PlainSocket) -> None:
        socket.curve_publickey = self._public_key()
        socket.curve_secretkey = self.keys['secret_key'].encode()

    def _bound(self, socket: PlainSocket) -> None:
        socket.set_hwm(self.queue_length)
        socket.maxmsgsize = MAX_MESSAGE_BYTES
        socket.linger = LINGER_MS

    def _public_key(self) -> bytes:
        return self.keys['public_key'].encode()


def _read(raw: bytes) -> result.Result[Received, Rejected]:
    """Returns a message with its handler, or why it is skipped.

    Nearly all begin with their kind and are decoded once.
    """
    kind = _kind_at_start(raw)
    handler = handlers.handlers.find(kind)
    if handler is not None:
        message = _decoded(raw, handler)
        if isinstance(message, result.Ok) and message.ok_value['kind'] == kind:
            return result.Ok(Received(handler, message.ok_value))
    envelope = codec.decode_packed(raw, peer.Envelope)
    if isinstance(envelope, result.Err):
        return result.Err(Rejected('undecodable'))
    handler = handlers.handlers.find(envelope.ok_value['kind'])
    if handler is None:
        return result.Err(Rejected('unknown_kind'))
    message = _decoded(raw, handler)
    if isinstance(message, result.Err):
        return result.Err(Rejected('malformed'))
    return result.Ok(Received(handler, message.ok_value))


def _kind_at_start(raw: bytes) -> str:
    """Returns the kind of a message that begins with it, or ''."""
    begin = KIND.match(raw)
    if begin is None:
        return ''
    length = begin[1][0] & LONGEST_KIND
    return raw[begin.end() : begin.end() + length].decode('latin-1')


def _decoded(
    raw: bytes, handler: handlers.Handler
) -> result.Result[typing.Any, codec.DecodeError | str]:
    message: result.Result[typing.Any, codec.DecodeError | str]
    message = codec.decode_packed(raw, handler.kind)
    return message.and_then(handler.check)
