"""Exchanges messages with the system's other processes over ZeroMQ.

One ROUTER socket receives from all processes; one DEALER socket for each address
sends. A process that has sent a message recently is answered on its own connection,
so a requester and a responder share one connection. Delivery is not guaranteed: a
message may be lost with its connection, and the sender detects this by asking.
"""

import asyncio
from collections import deque
from dataclasses import dataclass

import zmq

from ragwortlug.codes import Code
from ragwortlug.envelope import Envelope, Rejected
from ragwortlug.errors import MessageError
from ragwortlug.lease_settings import is_address
from ragwortlug.telemetry.logs import OnceLogger, logger

MAX_QUEUED_MESSAGES = 20_000
IDLE_TIMEOUT_S = 60.0
MAX_READS_PER_TURN = 200
MAX_MESSAGE_BYTES = 8 << 20
HEARTBEAT_INTERVAL_MS = 1000
HEARTBEAT_TIMEOUT_MS = 1500
# To addresses whose silence must be noticed soon.
WATCHED_HEARTBEAT_INTERVAL_MS = 250
WATCHED_HEARTBEAT_TIMEOUT_MS = 500
# Processes start in any order: an attempt to connect to one that does not listen yet,
# or whose VM has no power, is repeated soon, and less often the longer it fails.
CONNECT_TIMEOUT_MS = 150
RECONNECT_INTERVAL_MS = 10
MAX_RECONNECT_INTERVAL_MS = 160
LINGER_MS = 200
# A plain int: operations on the library's flag type cost more than the poll.
POLL_IN = int(zmq.POLLIN)
# A connection without a received message for this long is not used for replies.
REPLY_PATH_TIMEOUT_S = 1.0

log = logger("peers")
once_log = OnceLogger(log)


class Channel:
    """Reads and writes a ZeroMQ socket in the event loop.

    The socket's file descriptor is edge-triggered, and any call on the socket may
    consume the edge. Therefore each write also checks for received messages.

    Parameters
    ----------
    socket : zmq.Socket
        The socket, owned by the channel.
    on_frames : callable
        Called with the frames of each received message.
    """

    def __init__(self, socket, on_frames):
        self._socket = socket
        self._on_frames = on_frames
        self._loop = asyncio.get_running_loop()
        self._descriptor = socket.getsockopt(zmq.FD)
        self._read_scheduled = False
        self._loop.add_reader(self._descriptor, self._read)
        self._schedule_read()

    @property
    def closed(self):
        """Whether the channel is closed."""
        return self._socket.closed

    def write(self, frames):
        """Send a message without blocking; return whether it was queued."""
        try:
            self._socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError as error:
            log.debug("A message was not sent: {}.", error)
            return False
        finally:
            if not self.closed and self._readable():
                self._schedule_read()
        return True

    def reconnect(self, address):
        """Replace the connection; drop its queued messages."""
        self._socket.disconnect(address)
        self._socket.connect(address)
        self._schedule_read()

    def close(self, linger_ms=0):
        """Close the socket and stop reading."""
        if not self.closed:
            self._loop.remove_reader(self._descriptor)
            self._socket.close(linger_ms)

    def _readable(self):
        """Return whether a message can be read."""
        return bool(self._socket.getsockopt(zmq.EVENTS) & POLL_IN)

    def _schedule_read(self):
        """Schedule a read for the event loop's next iteration."""
        if not self._read_scheduled:
            self._read_scheduled = True
            self._loop.call_soon(self._read)

    def _read(self):
        """Read available messages, with a bound to not starve other callbacks."""
        self._read_scheduled = False
        for _ in range(MAX_READS_PER_TURN):
            if self.closed or not self._readable():
                return
            frames = self._socket.recv_multipart(zmq.NOBLOCK)
            try:
                self._on_frames(frames)
            except Exception:
                log.exception("Failed to handle a received message.")
        self._schedule_read()


@dataclass(slots=True)
class Connection:
    """An outgoing connection.

    Attributes
    ----------
    channel : Channel
        Sends messages and receives the replies to them.
    used_at : float
        Monotonic seconds of the latest message sent.
    """

    channel: Channel
    used_at: float


class Peers:
    """Owns this process's message sockets.

    Parameters
    ----------
    own_peer : Peer
        This process.
    timer : Timer
        Closes idle connections.
    metrics : Metrics
        Counts messages by type.
    codec : Codec
        Encodes and decodes the messages.
    listen : str
        Address to bind, if other processes reach this one by another address.
    """

    def __init__(self, own_peer, timer, metrics, codec, listen=""):
        self._own_peer = own_peer
        self._listen = listen or own_peer.address
        self._timer = timer
        self._metrics = metrics
        self._codec = codec
        self._handlers = {}
        self._outbox = deque()
        self._transmit_scheduled = False
        self._context = zmq.Context()
        self._router = None
        self._connections = {}
        self._inbound = {}
        self._watched = set()

    @property
    def own_peer(self):
        """The `Peer` of this process."""
        return self._own_peer

    def register_handler(self, kind, handler):
        """Call ``handler(sender, message)`` for each message of a type."""
        self._handlers[kind] = handler

    def send(self, receiver, body):
        """Queue a message; one to this process itself uses no socket."""
        self._outbox.append((receiver, body))
        if not self._transmit_scheduled:
            self._transmit_scheduled = True
            asyncio.get_running_loop().call_soon(self._transmit)

    def send_all(self, effects):
        """Queue the message of each `Send` effect."""
        for effect in effects:
            self.send(effect.receiver, effect.body)

    def watch(self, address):
        """Replace the connection to an address soon after it has gone silent.

        Applies to a connection that is opened later.
        """
        self._watched.add(address)

    def reconnect(self, address):
        """Replace the connection to an address; drop its queued messages."""
        connection = self._connections.get(address)
        if connection is not None:
            self._metrics.count("reconnections")
            connection.channel.reconnect(address)

    async def start(self):
        """Bind the socket and start receiving."""
        socket = self._context.socket(zmq.ROUTER)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.RCVHWM, MAX_QUEUED_MESSAGES)
        socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        socket.bind(self._listen)
        self._router = Channel(socket, self._on_router_frames)
        self._timer.every(IDLE_TIMEOUT_S / 4, self._close_idle)

    async def stop(self):
        """Send queued messages and close all sockets."""
        self._transmit()
        for connection in self._connections.values():
            connection.channel.close(LINGER_MS)
        if self._router is not None:
            self._router.close(LINGER_MS)
        self._context.term()

    def _on_router_frames(self, frames):
        """Handle a message on a connection that another process opened."""
        if len(frames) != 2:
            self._reject(frames[0], MessageError(f"{len(frames)} frames; wanted 2"))
            return
        identity, data = frames
        try:
            envelope = self._decode(data)
        except MessageError as error:
            self._reject(identity, error)
            return
        incarnation = envelope.sender.incarnation
        self._inbound[incarnation] = (identity, self._timer.monotonic())
        self._dispatch(envelope, len(data))

    def _on_dealer_frames(self, frames):
        """Handle a message on a connection that this process opened."""
        try:
            envelope = self._decode(frames[-1])
        except MessageError as error:
            self._count_rejected(error)
            return
        self._dispatch(envelope, len(frames[-1]))

    def _decode(self, data):
        """Return the envelope in `data`; raise `MessageError` if it is not valid."""
        envelope = self._codec.decode(data)
        if not is_address(envelope.sender.address):
            raise MessageError(f"sender {envelope.sender.address!r} has no address")
        return envelope

    def _dispatch(self, envelope, size):
        """Count and deliver a message, unless it is for another process."""
        if envelope.receiver_incarnation not in ("", self._own_peer.incarnation):
            self._metrics.count("messages_rejected", str(int(Code.WRONG_RECEIVER)))
            return
        kind = type(envelope.body).__name__
        self._metrics.count("messages_received", kind)
        self._metrics.count("message_bytes_received", kind, size)
        self._deliver(envelope.sender, envelope.body)

    def _reject(self, identity, error):
        """Answer bytes that can't be decoded with a `Rejected` message."""
        self._count_rejected(error)
        body = Rejected(int(error.code), error.detail)
        data = self._codec.encode(Envelope(self._own_peer, "", body))
        self._router.write([identity, data])

    def _count_rejected(self, error):
        """Count and log bytes that can't be decoded."""
        self._metrics.count("messages_rejected", str(int(error.code)))
        log.warning("Dropped a message that can't be decoded: {}.", error)

    def _deliver(self, sender, body):
        """Call the handler of a message; log its errors."""
        handler = self._handlers.get(type(body))
        if handler is None:
            self._metrics.count("messages_unhandled", type(body).__name__)
            return
        try:
            handler(sender, body)
        except Exception:
            self._metrics.count("handler_errors", type(body).__name__)
            log.exception("The handler of {} messages failed.", type(body).__name__)

    def _transmit(self):
        """Send all messages of the outbox."""
        self._transmit_scheduled = False
        while self._outbox:
            receiver, body = self._outbox.popleft()
            if receiver.address == self._own_peer.address:
                if receiver.incarnation in ("", self._own_peer.incarnation):
                    self._deliver(self._own_peer, body)
            else:
                self._transmit_and_log(receiver, body)

    def _transmit_and_log(self, receiver, body):
        """Write one message; drop and log one that can't be sent."""
        try:
            self._transmit_one(receiver, body)
        except Exception as error:
            kind = type(body).__name__
            self._metrics.count("messages_unsent", kind)
            once_log.warning(
                (receiver.address, kind, type(error)),
                "Dropped a message {} to {!r} that can't be sent: {!r}.",
                kind,
                receiver.address,
                error,
            )

    def _transmit_one(self, receiver, body):
        """Write one message to its receiver's connection."""
        kind = type(body).__name__
        data = self._codec.encode(Envelope(self._own_peer, receiver.incarnation, body))
        identity = self._reply_identity(receiver)
        if identity is not None:
            sent = self._router.write([identity, data])
        else:
            sent = self._connection(receiver.address).channel.write([data])
        if not sent:
            self._metrics.count("messages_unsent", kind)
            return
        self._metrics.count("messages_sent", kind)
        self._metrics.count("message_bytes_sent", kind, len(data))

    def _reply_identity(self, receiver):
        """Return the ROUTER identity to reply to a peer by, or None."""
        if receiver.address in self._connections:
            return None
        identity, last_contact_at = self._inbound.get(receiver.incarnation, (None, 0.0))
        is_recent = self._timer.monotonic() - last_contact_at < REPLY_PATH_TIMEOUT_S
        return identity if is_recent else None

    def _connection(self, address):
        """Return the outgoing connection to an address; open it if needed."""
        now = self._timer.monotonic()
        connection = self._connections.get(address)
        if connection is None:
            if not is_address(address):
                raise MessageError(f"{address!r} is not tcp://IP:PORT")
            socket = self._context.socket(zmq.DEALER)
            socket.setsockopt(zmq.LINGER, 0)
            socket.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES)
            socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
            interval_ms, timeout_ms = self._heartbeat_ms(address)
            socket.setsockopt(zmq.HEARTBEAT_IVL, interval_ms)
            socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, timeout_ms)
            socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
            socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_INTERVAL_MS)
            socket.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_INTERVAL_MS)
            socket.connect(address)
            connection = Connection(Channel(socket, self._on_dealer_frames), now)
            self._connections[address] = connection
        connection.used_at = now
        return connection

    def _heartbeat_ms(self, address):
        """Return the interval and the timeout of heartbeats to an address."""
        if address in self._watched:
            return WATCHED_HEARTBEAT_INTERVAL_MS, WATCHED_HEARTBEAT_TIMEOUT_MS
        return HEARTBEAT_INTERVAL_MS, HEARTBEAT_TIMEOUT_MS

    def _close_idle(self):
        """Close idle connections and drop idle reply paths."""
        now = self._timer.monotonic()
        for address, connection in tuple(self._connections.items()):
            if now - connection.used_at > IDLE_TIMEOUT_S:
                del self._connections[address]
                connection.channel.close()
        for incarnation, (_, last_contact_at) in tuple(self._inbound.items()):
            if now - last_contact_at > IDLE_TIMEOUT_S:
                del self._inbound[incarnation]
