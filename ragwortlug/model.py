"""Data types of the domain: jobs, tasks, answers and announcements of targets.

All are frozen data classes; times are milliseconds unless a name says otherwise.
"""

import hashlib
import secrets
import time
import uuid
from dataclasses import dataclass, field
from typing import Annotated, Any

import msgspec

from ragwortlug.codes import Code
from ragwortlug.decoding import MAX_WHOLE, Natural, Positive

MAX_TASKS = 150
MAX_NAME_LENGTH = 100
UUID_VERSION = 7
UUID7_RANDOM_BITS = 80

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]


@dataclass(frozen=True, slots=True)
class Task:
    """One task as its caller declares it.

    Attributes
    ----------
    payload : object
        JSON that is passed to the target unchanged.
    run_ms : int
        Declared run time; 0 if the caller does not know.
    memory_mb, cpus, accelerators : int
        Declared size.
    """

    payload: Any = None
    run_ms: Natural = 0
    memory_mb: Natural = 0
    cpus: Natural = 0
    accelerators: Natural = 0


@dataclass(frozen=True, slots=True)
class Job:
    """A submission: 1 to 150 tasks of one service, for one team.

    Attributes
    ----------
    id : str
        UUID of version 7; it contains the job's creation time and makes a
        resubmission idempotent.
    deadline_ms : int
        Time from submission within which tasks may start; 0 for no limit.
    """

    id: Name
    team: Name
    service: Name
    tasks: tuple[Task, ...]
    deadline_ms: Natural = 0

    @property
    def birth_ms(self):
        """Return the creation time in the id, in Unix milliseconds."""
        return job_created_at_ms(self.id)

    def digest(self):
        """Return a digest of the body, equal for every resubmission."""
        return hashlib.sha256(msgspec.msgpack.encode(self)).digest()[:16]


@dataclass(frozen=True, slots=True)
class TaskOutcome:
    """The result of one task."""

    code: int
    result: Any = None
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a job, with the results of all of its tasks or of none."""

    id: str
    code: int
    tasks: tuple[TaskOutcome, ...] = ()
    detail: str = ""

    @property
    def verdict(self):
        """Return the `Verdict` of the answer's code."""
        return Code(self.code).verdict


@dataclass(frozen=True, slots=True)
class Capacity:
    """The services and the resources that a target offers."""

    services: tuple[Name, ...]
    slots: Positive
    connections: Positive = 64
    cpus: Natural = 0
    memory_mb: Natural = 0
    accelerators: Natural = 0

    def can_fit(self, task):
        """Return whether the task would fit if nothing else ran."""
        return (
            task.memory_mb <= self.memory_mb
            and task.cpus <= self.cpus
            and task.accelerators <= self.accelerators
        )


@dataclass(frozen=True, slots=True)
class Usage:
    """The resources in use at a target, as reported with some delay."""

    memory_mb: Natural = 0
    cpus: Annotated[float, msgspec.Meta(ge=0, le=MAX_WHOLE)] = 0.0


@dataclass(frozen=True, slots=True)
class Announcement:
    """A target's announcement to its agent, valid for `ttl_ms`.

    Attributes
    ----------
    url : str
        URL at which the target accepts tasks.
    instance : str
        Identifies the target's process; a new process at the same address differs.
    """

    url: str
    instance: Name
    capacity: Capacity
    ttl_ms: Positive = 3000
    usage: Usage = field(default_factory=Usage)
    leaving: bool = False


def new_job_id(now_ms=None, random_bits=secrets.randbits):
    """Return a new job id, a UUID of version 7.

    Parameters
    ----------
    now_ms : int, optional
        Creation time in Unix milliseconds; the current time by default.
    random_bits : callable, optional
        Returns an integer of the given number of random bits.
    """
    created_at_ms = int(time.time() * 1000) if now_ms is None else now_ms
    number = (created_at_ms << UUID7_RANDOM_BITS) | random_bits(UUID7_RANDOM_BITS)
    number = (number & ~(0xF << 76)) | (UUID_VERSION << 76)
    number = (number & ~(0x3 << 62)) | (0x2 << 62)
    return str(uuid.UUID(int=number))


def is_job_id(text):
    """Return whether the text is a UUID of version 7 in its canonical form."""
    try:
        parsed = uuid.UUID(text)
    except (ValueError, AttributeError, TypeError):
        return False
    return parsed.version == UUID_VERSION and str(parsed) == text


def job_created_at_ms(job_id):
    """Return the creation time in a job id, in Unix milliseconds."""
    return int(job_id[:8] + job_id[9:13], 16)
