"""Decoders of bytes from outside the process, and the bounds of numbers in them.

Bytes that can't be decoded raise `msgspec.DecodeError`, whatever is wrong with them:
the decoders of the library also raise errors that do not derive from it. Without a
bound, a decoded whole number may have any size, also one that fits in no message.
"""

from typing import Annotated, Any

import msgspec

# The largest whole number that every reader of JSON keeps exactly.
MAX_WHOLE = 2**53 - 1
MAX_INT64 = 2**63 - 1
MAX_FACTOR = 1e6
MAX_COUNT = 2**31 - 1
MAX_SECONDS = 366 * 24 * 3600

Natural = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE)]
Positive = Annotated[int, msgspec.Meta(ge=1, le=MAX_WHOLE)]
Count = Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]
Whole = Annotated[int, msgspec.Meta(ge=-MAX_WHOLE, le=MAX_WHOLE)]
# A number that another program counts, such as the revision of a store.
Counter = Annotated[int, msgspec.Meta(ge=0, le=MAX_INT64)]
# NaN and infinity are outside of any bounds.
Factor = Annotated[float, msgspec.Meta(ge=0, le=MAX_FACTOR)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=MAX_SECONDS)]
SecondsOrZero = Annotated[float, msgspec.Meta(ge=0, le=MAX_SECONDS)]

_OTHER_FAILURES = (RecursionError, OverflowError, UnicodeDecodeError)


class _Decoder:
    """Decodes bytes with a decoder of the library.

    Parameters
    ----------
    decoder : object
        Its method ``decode`` returns the value in some bytes.
    """

    def __init__(self, decoder):
        self._decode = decoder.decode

    def decode(self, raw):
        """Return the value in `raw`, or raise `msgspec.DecodeError`."""
        try:
            return self._decode(raw)
        except _OTHER_FAILURES as error:
            raise msgspec.DecodeError(str(error)) from error


class JsonDecoder(_Decoder):
    """Decodes JSON.

    Parameters
    ----------
    kind : type
        The type of the decoded value.
    """

    def __init__(self, kind=Any):
        super().__init__(msgspec.json.Decoder(kind))


class MessagePackDecoder(_Decoder):
    """Decodes MessagePack.

    Parameters
    ----------
    kind : type
        The type of the decoded value.
    """

    def __init__(self, kind=Any):
        super().__init__(msgspec.msgpack.Decoder(kind))
