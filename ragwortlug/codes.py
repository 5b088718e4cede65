"""Result codes: the numbered results with which every outcome is reported."""

import enum


class Verdict(enum.StrEnum):
    """What a code says about whether the work ran."""

    DONE = "done"
    ACCEPTED = "accepted"
    NOT_RUN = "not run"
    FAILED = "failed"
    UNKNOWN = "outcome unknown"


class Code(enum.IntEnum):
    """A numbered result.

    Attributes
    ----------
    verdict : Verdict
        What the code says about the work.
    http_status : int
        The HTTP status of responses with the code.
    meaning : str
        One sentence that describes the result.
    """

    verdict: Verdict
    http_status: int
    meaning: str

    def __new__(cls, value, verdict, http_status, meaning):
        """Create a member with its verdict, its HTTP status and its meaning."""
        code = int.__new__(cls, value)
        code._value_ = value
        code.verdict = verdict
        code.http_status = http_status
        code.meaning = meaning
        return code

    # Work that succeeded or is in progress.
    OK = 0, Verdict.DONE, 200, "All of the work ran and succeeded."
    ACCEPTED = 1, Verdict.ACCEPTED, 202, "The job is recorded; fetch it later."
    NOTE_COMMITTED = 2, Verdict.DONE, 200, "The release note is committed."

    # Requests that are not valid; nothing was run.
    BAD_JSON = 100, Verdict.NOT_RUN, 400, "The body is not JSON."
    BAD_FIELD = 101, Verdict.NOT_RUN, 400, "A field is missing or of a wrong type."
    BODY_TOO_LARGE = 102, Verdict.NOT_RUN, 413, "The body is over the size limit."
    TOO_MANY_TASKS = 103, Verdict.NOT_RUN, 400, "The job has more than 150 tasks."
    NO_TASKS = 104, Verdict.NOT_RUN, 400, "The job has no task."
    BAD_JOB_ID = 105, Verdict.NOT_RUN, 400, "The job id is not a UUID of version 7."
    NO_SUCH_PATH = 106, Verdict.NOT_RUN, 404, "Nothing is served at this path."

    BAD_HTTP = 107, Verdict.NOT_RUN, 400, "The request is not valid HTTP."
    HEAD_TOO_LARGE = 108, Verdict.NOT_RUN, 431, "The head is over the size limit."
    REQUEST_TIMEOUT = 109, Verdict.NOT_RUN, 408, "The request did not arrive in time."
    TOO_MUCH_UNFINISHED = (
        110,
        Verdict.NOT_RUN,
        429,
        "Requests that are not complete hold too much memory.",
    )

    # Refusals decided and recorded by the job's home.
    UNKNOWN_SERVICE = 120, Verdict.NOT_RUN, 404, "No such service is configured."
    UNKNOWN_TEAM = 121, Verdict.NOT_RUN, 403, "No such team is configured."
    ID_REUSED = 123, Verdict.NOT_RUN, 409, "The id belongs to a different body."
    FOREIGN_ID = 124, Verdict.NOT_RUN, 403, "The id belongs to another team."
    QUEUE_FULL = 125, Verdict.NOT_RUN, 503, "The home's queue is full."
    DEADLINE_UNREACHABLE = (
        126,
        Verdict.NOT_RUN,
        503,
        "The work can't end before its deadline.",
    )
    REFUSED_BY_RULE = 127, Verdict.NOT_RUN, 403, "A rule refuses this job."
    CAN_NEVER_RUN = 128, Verdict.NOT_RUN, 422, "No announced target can hold a task."
    DEADLINE_PASSED = 129, Verdict.NOT_RUN, 504, "The deadline passed before a start."
    CANCELLED = 130, Verdict.NOT_RUN, 409, "The work was cancelled before its start."
    DROPPED_WITH_JOB = (
        131,
        Verdict.NOT_RUN,
        409,
        "Another task of the job failed before this one started.",
    )
    SERVICE_WITHDRAWN = 132, Verdict.NOT_RUN, 410, "The service was withdrawn."

    # Refusals of a start, recorded by the agent; the home tries another agent.
    NO_FREE_SLOT = 140, Verdict.NOT_RUN, 503, "The agent has no free slot."
    AGENT_LEAVING = 141, Verdict.NOT_RUN, 503, "The agent or its target is leaving."
    NOT_CONFIRMED = 142, Verdict.NOT_RUN, 503, "The agent's view is not confirmed."
    NOT_PERMITTED_HERE = (
        143,
        Verdict.NOT_RUN,
        503,
        "The service may not run in this data centre.",
    )
    LEASE_TOO_LATE = 144, Verdict.NOT_RUN, 503, "The target got the task too late."
    GRANT_UNSEEN = 145, Verdict.NOT_RUN, 503, "The agent never saw the grant."
    TARGET_UNREACHABLE = (
        146,
        Verdict.NOT_RUN,
        503,
        "No connection to the target could be made.",
    )

    FENCED = 147, Verdict.NOT_RUN, 409, "The worker obeys a newer agent."
    ENTRY_LEAVING = 150, Verdict.NOT_RUN, 503, "The entry is about to stop."
    NOT_STORED = 148, Verdict.NOT_RUN, 503, "Jobs that must be stored aren't taken."
    NO_CONFIGURATION = 149, Verdict.NOT_RUN, 503, "No configuration is known yet."
    NO_WORKER_HERE = 151, Verdict.NOT_RUN, 503, "No worker known here can hold a task."

    ENTRY_OVERLOADED = (
        152,
        Verdict.NOT_RUN,
        503,
        "The entry has more work than its processor can handle.",
    )
    UNSUPPORTED = 153, Verdict.NOT_RUN, 503, "The job needs what isn't supported."
    TARGET_REPLACED = (
        154,
        Verdict.NOT_RUN,
        503,
        "A new process answers at the address of the target.",
    )

    # Work that started and did not succeed.
    TASK_FAILED = 200, Verdict.FAILED, 500, "The task ran and failed."
    JOB_FAILED = 201, Verdict.FAILED, 500, "The job failed; no result is given."
    STOPPED = 202, Verdict.FAILED, 409, "The task was stopped after its start."
    LEASE_ENDED = 203, Verdict.FAILED, 504, "The task outlived its lease."
    RESULT_DROPPED = 204, Verdict.FAILED, 410, "The job ended; its result was dropped."

    CANCELLED_AFTER_START = (
        205,
        Verdict.FAILED,
        409,
        "The job was cancelled after tasks of it may have started.",
    )

    # It can't be determined whether the work ran.
    OUTCOME_UNKNOWN = 300, Verdict.UNKNOWN, 504, "The outcome is unknown."
    HOME_LOST = 301, Verdict.UNKNOWN, 503, "The job's home is lost."
    AGENT_LOST = 302, Verdict.UNKNOWN, 504, "The agent that held the task is lost."
    ID_TOO_OLD = 303, Verdict.UNKNOWN, 410, "The id is older than the window."
    HOME_CHANGING = 304, Verdict.UNKNOWN, 503, "The id's home is changing hands."
    HOME_UNCONFIRMED = 305, Verdict.UNKNOWN, 503, "The home can't confirm its view."
    NO_HOME = 306, Verdict.UNKNOWN, 503, "No agent is home to this id."
    NO_RECORD = 307, Verdict.UNKNOWN, 404, "No record of this id is held."
    BIRTH_IN_FUTURE = (
        309,
        Verdict.UNKNOWN,
        400,
        "The id's birth is in the future; its home may still change.",
    )
    REPLY_LOST = 308, Verdict.UNKNOWN, 504, "The target's reply was lost."
    CANCELLED_BEFORE = (
        310,
        Verdict.UNKNOWN,
        409,
        "The job was cancelled before this request; nothing more of it starts.",
    )
    CANCEL_UNCONFIRMED = (
        311,
        Verdict.UNKNOWN,
        503,
        "The entry can't confirm that the cancel holds; cancel again.",
    )

    # Operators' results.
    NOTE_CONFLICT = 400, Verdict.NOT_RUN, 409, "Another note was accepted first."
    NOTE_REFUSED = 401, Verdict.NOT_RUN, 422, "The note is inconsistent."
    NOTE_UNKNOWN = 402, Verdict.UNKNOWN, 504, "The note may or may not be committed."
    STORE_UNAVAILABLE = 403, Verdict.NOT_RUN, 503, "The store can't be reached."
    NO_MAJORITY = 404, Verdict.NOT_RUN, 503, "A majority of entries can't be reached."
    NO_SUCH_NOTE = 405, Verdict.NOT_RUN, 404, "No such note is known."

    # Results of the internal ports and of the program itself.
    BAD_MESSAGE = 500, Verdict.NOT_RUN, 400, "The bytes are no message."
    WRONG_RECEIVER = 501, Verdict.NOT_RUN, 409, "The message is for another process."
    BAD_SETTINGS = 510, Verdict.NOT_RUN, 400, "The settings are not valid."
    INTERNAL = 520, Verdict.UNKNOWN, 500, "An internal error; see the log."
