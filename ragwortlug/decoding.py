"""Decoders of bytes from outside the process.

Bytes that can't be decoded raise `msgspec.DecodeError`, whatever is wrong with them:
the decoders of the library also raise errors that do not derive from it.
"""

from typing import Any

import msgspec

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
