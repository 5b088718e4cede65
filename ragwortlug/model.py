"""The words of the domain: jobs, tasks, answers and what targets announce.

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

MAX_TASKS = 150
MAX_NAME_LENGTH = 100
UUID_VERSION = 7
UUID7_RANDOM_BITS = 80

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Natural = Annotated[int, msgspec.Meta(ge=0)]
Positive = Annotated[int, msgspec.Meta(ge=1)]


@dataclass(frozen=True, slots=True)
class Task:
    """One task as its caller declares it.

    Attributes
    ----------
    payload : object
        JSON handed to the target as it is.
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
        UUID of version 7; it carries the job's birth and makes a
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
        """Return the Unix time in milliseconds that the id carries."""
        return job_created_at_ms(self.id)

    def digest(self):
        """Return a digest of the body, equal for every resubmission."""
        return hashlib.sha256(msgspec.msgpack.encode(self)).digest()[:16]


@dataclass(frozen=True, slots=True)
class TaskOutcome:
    """What became of one task."""

    code: int
    result: Any = None
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Answer:
    """The whole answer to a job: complete with every result, or without any."""

    id: str
    code: int
    tasks: tuple[TaskOutcome, ...] = ()
    detail: str = ""

    @property
    def verdict(self):
        """Return what the answer's code says about the work."""
        return Code(self.code).verdict


@dataclass(frozen=True, slots=True)
class Capacity:
    """What a target offers: its services and its size."""

    services: tuple[Name, ...]
    slots: Positive
    connections: Positive = 64
    cpus: Natural = 0
    memory_mb: Natural = 0
    accelerators: Natural = 0

    def can_fit(self, task):
        """Return whether the task, alone, would fit."""
        return (
            task.memory_mb <= self.memory_mb
            and task.cpus <= self.cpus
            and task.accelerators <= self.accelerators
        )


@dataclass(frozen=True, slots=True)
class Usage:
    """What a target reports of its use, with some lag."""

    memory_mb: Natural = 0
    cpus: float = 0.0


@dataclass(frozen=True, slots=True)
class Announcement:
    """A target's announcement to its agent, good for `ttl_ms`.

    Attributes
    ----------
    url : str
        Where the target takes tasks.
    instance : str
        Names the target's process; a new one at an old address differs.
    """

    url: str
    instance: Name
    capacity: Capacity
    ttl_ms: Positive = 3000
    usage: Usage = field(default_factory=Usage)
    leaving: bool = False


def new_job_id(now_ms=None, random_bits=secrets.randbits):
    """Return a new id, a UUID of version 7, born now."""
    created_at_ms = int(time.time() * 1000) if now_ms is None else now_ms
    number = (created_at_ms << UUID7_RANDOM_BITS) | random_bits(UUID7_RANDOM_BITS)
    number = (number & ~(0xF << 76)) | (UUID_VERSION << 76)
    number = (number & ~(0x3 << 62)) | (0x2 << 62)
    return str(uuid.UUID(int=number))


def is_job_id(text):
    """Return whether the text is a UUID of version 7 in its usual form."""
    try:
        parsed = uuid.UUID(text)
    except (ValueError, AttributeError, TypeError):
        return False
    return parsed.version == UUID_VERSION and str(parsed) == text


def job_created_at_ms(job_id):
    """Return the Unix time in milliseconds that an id carries."""
    return int(job_id[:8] + job_id[9:13], 16)
