"""How the system's own processes write to each other, whatever they have to say.

Each message is a frozen record with a short tag, encoded as MessagePack. An
envelope names its sender and its receiver, so that a message for a process that
is gone never reaches its successor at the same address.
"""

from typing import Generic, TypeVar

import msgspec

from ragwortlug.errors import MessageError

Body = TypeVar("Body")


class Peer(msgspec.Struct, frozen=True, array_like=True):
    """A process: its address and the incarnation that is meant.

    An empty incarnation means whichever process is at the address.
    """

    address: str
    incarnation: str = ""


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Any message; the tag is the class's name."""


class Rejected(Message):
    """Answers bytes that are no message, or a message for another process."""

    code: int
    detail: str


class Envelope(msgspec.Struct, Generic[Body], frozen=True, array_like=True):
    """A message on the wire."""

    sender: Peer
    receiver_incarnation: str
    body: Body


class Send(msgspec.Struct, frozen=True):
    """An effect of a decision: a message to be sent."""

    receiver: Peer
    body: Message


class Codec:
    """Turns envelopes into bytes and back.

    Parameters
    ----------
    bodies : type
        The union of the messages that these processes exchange.
    """

    def __init__(self, bodies):
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Envelope[bodies])

    def encode(self, envelope):
        """Return the bytes of an envelope."""
        return self._encoder.encode(envelope)

    def decode(self, data):
        """Return the envelope in some bytes; raise `MessageError` if there is none."""
        try:
            return self._decoder.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise MessageError(f"{len(data)} bytes: {error}") from error
