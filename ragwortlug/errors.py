"""The exception tree; each exception carries its numbered result code."""

from ragwortlug.codes import Code


class RagwortlugError(Exception):
    """Any error raised by this package.

    Attributes
    ----------
    code : Code
        The result code.
    detail : str
        What was given and what is expected.
    """

    code = Code.INTERNAL

    def __init__(self, detail="", code=None):
        self.code = self.code if code is None else code
        self.detail = detail or self.code.meaning
        super().__init__(f"[{int(self.code)}] {self.detail}")


class SettingsError(RagwortlugError):
    """The settings file is not valid."""

    code = Code.BAD_SETTINGS


class RequestError(RagwortlugError):
    """A request from a caller is not valid."""

    code = Code.BAD_FIELD


class MessageError(RagwortlugError):
    """Bytes on an internal port are not a message."""

    code = Code.BAD_MESSAGE


class NoteError(RagwortlugError):
    """A release note is refused.

    Attributes
    ----------
    reasons : tuple of str
        Every reason, not just the first.
    """

    code = Code.NOTE_REFUSED

    def __init__(self, reasons, code=None):
        self.reasons = tuple(reasons)
        super().__init__("; ".join(self.reasons), code)


class StoreError(RagwortlugError):
    """The store did not complete a call."""

    code = Code.STORE_UNAVAILABLE


class StoreAnswerLostError(StoreError):
    """The store's answer is lost; a write may have taken effect."""

    code = Code.NOTE_UNKNOWN


class WorkerError(RagwortlugError):
    """A call to a worker did not succeed."""

    code = Code.TARGET_UNREACHABLE


class WorkerSilentError(WorkerError):
    """A worker did not answer a call, but may have executed it.

    Attributes
    ----------
    refused : bool
        Whether its port refused the connection.
    """

    def __init__(self, detail, refused=False):
        self.refused = refused
        super().__init__(detail)


class WorkerReplacedError(WorkerError):
    """A boot with another id answered a call to a worker and did not execute it."""


class WorkerRebootedError(WorkerError):
    """Another boot with the same id answers; the call was not made.

    Attributes
    ----------
    snapshot : WorkerSnapshot
        The answer of that boot.
    """

    def __init__(self, detail, snapshot):
        self.snapshot = snapshot
        super().__init__(detail)


class WorkerFencedError(WorkerError):
    """A worker rejected a call; it accepts only a higher fencing token.

    Attributes
    ----------
    clock_ms : int
        The worker's steady clock.
    """

    code = Code.FENCED

    def __init__(self, detail, clock_ms):
        self.clock_ms = clock_ms
        super().__init__(detail)


class InvariantError(RagwortlugError):
    """An invariant of the program is violated."""
