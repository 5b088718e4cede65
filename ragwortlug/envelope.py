"""Encoding of the messages between the system's own processes.

Each message is a frozen record with a short tag, encoded as MessagePack. An
envelope names its sender and its receiver, so that a message for a stopped process
never reaches a later process at the same address.
"""

from typing import Generic, TypeVar

import msgspec

from ragwortlug.decoding import MessagePackDecoder
from ragwortlug.errors import MessageError

Body = TypeVar("Body")


class Peer(msgspec.Struct, frozen=True, array_like=True):
    """A process, by its address and its incarnation.

    An empty incarnation stands for any process at the address.
    """

    address: str
    incarnation: str = ""


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base class of all messages; the tag is the name of the class."""


class Rejected(Message):
    """Answers bytes that are not a message, or a message for another process."""

    code: int
    detail: str


class Envelope(msgspec.Struct, Generic[Body], frozen=True, array_like=True):
    """A message with its sender and its receiver, as it is sent."""

    sender: Peer
    receiver_incarnation: str
    body: Body


class Send(msgspec.Struct, frozen=True):
    """An effect of a decision: a message to send."""

    receiver: Peer
    body: Message


class Codec:
    """Encodes and decodes envelopes.

    Parameters
    ----------
    bodies : type
        The union of the messages that these processes exchange.
    """

    def __init__(self, bodies):
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = MessagePackDecoder(Envelope[bodies])

    def encode(self, envelope):
        """Return the bytes of an envelope."""
        return self._encoder.encode(envelope)

    def decode(self, data):
        """Return the envelope in `data`; raise `MessageError` if it is not valid."""
        try:
            return self._decoder.decode(data)
        except msgspec.DecodeError as error:
            raise MessageError(f"{len(data)} bytes: {error}") from error
