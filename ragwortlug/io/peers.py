"""Messages to and from the system's other processes, over ZeroMQ.

One ROUTER socket takes what others send; a DEALER socket for each address sends.
Whoever has written lately is answered on its own connection, so a pair of which one
asks and the other answers has one connection. Messages are datagrams in spirit: one
may be lost with its connection, and those who send it find out by asking.
"""

import asyncio
from collections import deque
from dataclasses import dataclass

import zmq

from ragwortlug.codes import Code
from ragwortlug.envelope import Envelope, Rejected
from ragwortlug.errors import MessageError
from ragwortlug.telemetry.logs import logger

QUEUED_MESSAGES = 20_000
IDLE_S = 60.0
BURST = 200
MAX_MESSAGE_BYTES = 8 << 20
HEARTBEAT_MS = 1000
SILENCE_MS = 1500
CONNECT_MS = 500
LINGER_MS = 200
# A plain number, since the library's flags cost more than the question itself.
READABLE = int(zmq.POLLIN)
# A connection on which nothing came for that long is not used for answers.
ANSWER_S = 1.0

log = logger("peers")


class Channel:
    """A message socket in the event loop.

    The library's file descriptor tells only that something has changed, once, and any
    call on the socket may take that word. So whatever has come is looked for after
    each write too.

    Parameters
    ----------
    socket : zmq.Socket
        Owned by the channel.
    take : callable
        Is called with the frames of each message that comes.
    """

    def __init__(self, socket, take):
        self._socket = socket
        self._take = take
        self._loop = asyncio.get_running_loop()
        self._descriptor = socket.getsockopt(zmq.FD)
        self._reading_due = False
        self._loop.add_reader(self._descriptor, self._read)
        self._read_soon()

    @property
    def closed(self):
        """Return whether the channel is closed."""
        return self._socket.closed

    def write(self, frames):
        """Send a message now or never; return whether the library took it."""
        try:
            self._socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError as error:
            log.debug("A message was not sent: {}.", error)
            return False
        finally:
            if not self.closed and self._readable():
                self._read_soon()
        return True

    def reconnect(self, address):
        """Give up the connection, and what waits in it, for a new one."""
        self._socket.disconnect(address)
        self._socket.connect(address)
        self._read_soon()

    def close(self, linger_ms=0):
        """Close the socket; nothing is read any more."""
        if not self.closed:
            self._loop.remove_reader(self._descriptor)
            self._socket.close(linger_ms)

    def _readable(self):
        """Return whether a message has come."""
        return bool(self._socket.getsockopt(zmq.EVENTS) & READABLE)

    def _read_soon(self):
        """Look for messages in the loop's next turn."""
        if not self._reading_due:
            self._reading_due = True
            self._loop.call_soon(self._read)

    def _read(self):
        """Take what has come, a burst at most before others have their turn."""
        self._reading_due = False
        for _ in range(BURST):
            if self.closed or not self._readable():
                return
            self._take(self._socket.recv_multipart(zmq.NOBLOCK))
        self._read_soon()


@dataclass(slots=True)
class Connection:
    """A connection that this process has opened.

    Attributes
    ----------
    channel : Channel
        Sends, and takes the answers.
    used_at : float
        Monotonic seconds of the latest message sent.
    """

    channel: Channel
    used_at: float


class Peers:
    """The task that owns this process's message sockets.

    Parameters
    ----------
    own_peer : Peer
        This process.
    timer : Timer
        Closes idle connections.
    metrics : Metrics
        Counts messages by kind.
    codec : Codec
        Of the messages that are exchanged.
    listen : str
        Where messages are taken if others reach this process by another address.
    """

    def __init__(self, own_peer, timer, metrics, codec, listen=""):
        self._own_peer = own_peer
        self._listen = listen or own_peer.address
        self._timer = timer
        self._metrics = metrics
        self._codec = codec
        self._handlers = {}
        self._outbox = deque()
        self._sending_due = False
        self._context = zmq.Context()
        self._router = None
        self._connections = {}
        self._inbound = {}

    @property
    def own_peer(self):
        """Return this process."""
        return self._own_peer

    def register_handler(self, kind, handler):
        """Call ``handler(sender, message)`` for each message of a kind."""
        self._handlers[kind] = handler

    def send(self, receiver, body):
        """Send a message; one to this process itself takes no socket."""
        self._outbox.append((receiver, body))
        if not self._sending_due:
            self._sending_due = True
            asyncio.get_running_loop().call_soon(self._transmit)

    def send_all(self, effects):
        """Send each of some `Send` effects."""
        for effect in effects:
            self.send(effect.receiver, effect.body)

    def reconnect(self, address):
        """Give up the connection to an address, and what waits in it, for a new one."""
        connection = self._connections.get(address)
        if connection is not None:
            self._metrics.count("reconnections")
            connection.channel.reconnect(address)

    async def start(self):
        """Bind the socket and begin to serve."""
        socket = self._context.socket(zmq.ROUTER)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.RCVHWM, QUEUED_MESSAGES)
        socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        socket.bind(self._listen)
        self._router = Channel(socket, self._take_inbound)
        self._timer.every(IDLE_S / 4, self._close_idle)

    async def stop(self):
        """Close all sockets."""
        self._transmit()
        for connection in self._connections.values():
            connection.channel.close(LINGER_MS)
        if self._router is not None:
            self._router.close(LINGER_MS)
        self._context.term()

    def _take_inbound(self, frames):
        """Take one message that came on another process's connection."""
        if len(frames) != 2:
            self._refuse(frames[0], MessageError(f"{len(frames)} frames; wanted 2"))
            return
        identity, data = frames
        try:
            envelope = self._codec.decode(data)
        except MessageError as error:
            self._refuse(identity, error)
            return
        name = envelope.sender.incarnation
        self._inbound[name] = (identity, self._timer.monotonic())
        self._take(envelope, len(data))

    def _take_answer(self, frames):
        """Take one message that came on a connection of this process's own."""
        try:
            envelope = self._codec.decode(frames[-1])
        except MessageError as error:
            self._count_rejected(error)
            return
        self._take(envelope, len(frames[-1]))

    def _take(self, envelope, size):
        """Hand on one message, unless it is for another process."""
        if envelope.receiver_incarnation not in ("", self._own_peer.incarnation):
            self._metrics.count("messages_rejected", str(int(Code.WRONG_RECEIVER)))
            return
        kind = type(envelope.body).__name__
        self._metrics.count("messages_received", kind)
        self._metrics.count("message_bytes_received", kind, size)
        self._deliver(envelope.sender, envelope.body)

    def _refuse(self, identity, error):
        """Tell a sender of foreign bytes the numbered error."""
        self._count_rejected(error)
        body = Rejected(int(error.code), error.detail)
        data = self._codec.encode(Envelope(self._own_peer, "", body))
        self._router.write([identity, data])

    def _count_rejected(self, error):
        """Take note of bytes that are no message."""
        self._metrics.count("messages_rejected", str(int(error.code)))
        log.warning("Dropped bytes that are no message: {}.", error)

    def _deliver(self, sender, body):
        """Hand a message to its handler."""
        handler = self._handlers.get(type(body))
        if handler is None:
            self._metrics.count("messages_unhandled", type(body).__name__)
            return
        try:
            handler(sender, body)
        except Exception:
            self._metrics.count("handler_errors", type(body).__name__)
            log.exception("A {} could not be handled.", type(body).__name__)

    def _transmit(self):
        """Send what is in the outbox."""
        self._sending_due = False
        while self._outbox:
            receiver, body = self._outbox.popleft()
            if receiver.address == self._own_peer.address:
                if receiver.incarnation in ("", self._own_peer.incarnation):
                    self._deliver(self._own_peer, body)
            else:
                self._transmit_one(receiver, body)

    def _transmit_one(self, receiver, body):
        """Write one message to its peer's connection."""
        kind = type(body).__name__
        data = self._codec.encode(Envelope(self._own_peer, receiver.incarnation, body))
        identity = self._answerable(receiver)
        if identity is not None:
            sent = self._router.write([identity, data])
        else:
            sent = self._connection(receiver.address).channel.write([data])
        if not sent:
            self._metrics.count("messages_unsent", kind)
            return
        self._metrics.count("messages_sent", kind)
        self._metrics.count("message_bytes_sent", kind, len(data))

    def _answerable(self, receiver):
        """Return by which identity a peer is answered on its connection, or None."""
        if receiver.address in self._connections:
            return None
        identity, last_contact_at = self._inbound.get(receiver.incarnation, (None, 0.0))
        fresh = self._timer.monotonic() - last_contact_at < ANSWER_S
        return identity if fresh else None

    def _connection(self, address):
        """Return the connection that sends to an address."""
        now = self._timer.monotonic()
        connection = self._connections.get(address)
        if connection is None:
            socket = self._context.socket(zmq.DEALER)
            socket.setsockopt(zmq.LINGER, 0)
            socket.setsockopt(zmq.SNDHWM, QUEUED_MESSAGES)
            socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
            socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
            socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, SILENCE_MS)
            socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_MS)
            socket.connect(address)
            connection = Connection(Channel(socket, self._take_answer), now)
            self._connections[address] = connection
        connection.used_at = now
        return connection

    def _close_idle(self):
        """Close connections that have not been used for a while."""
        now = self._timer.monotonic()
        for address, connection in tuple(self._connections.items()):
            if now - connection.used_at > IDLE_S:
                del self._connections[address]
                connection.channel.close()
        for name, (_, last_contact_at) in tuple(self._inbound.items()):
            if now - last_contact_at > IDLE_S:
                del self._inbound[name]
