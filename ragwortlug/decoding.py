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
# Levels of a value that is passed on as it is; a reader has room for ten times that.
MAX_NESTING = 100
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


def check_plain_value(value):
    """Check that every message can carry a decoded value without a type.

    Raises
    ------
    msgspec.DecodeError
        It is nested deeper than `MAX_NESTING`, or has a whole number over 64 bits.
    """
    level = [value]
    for _ in range(MAX_NESTING + 1):
        if not level:
            return
        if any(type(each) is int and not _fits_in_64_bits(each) for each in level):
            raise msgspec.ValidationError("A whole number is over 64 bits")
        level = [child for each in level for child in _children(each)]
    raise msgspec.ValidationError(f"Nested deeper than {MAX_NESTING} levels")


def _fits_in_64_bits(number):
    return -MAX_INT64 <= number <= MAX_INT64


def _children(value):
    """Return the values that a decoded list or object holds."""
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()


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
