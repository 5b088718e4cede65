"""Messages between the processes that run jobs at most once.

Entries relay requests to homes, homes grant tasks to agents, and all processes
confirm their views.
"""

from typing import Any

from ragwortlug.envelope import Codec, Message, Peer, Rejected
from ragwortlug.model import Answer, Job
from ragwortlug.view.roster import Member
from ragwortlug.view.view import Change, Versions

# Between an entry and a home. `request_id` identifies one attempt of one caller.


class Submit(Message):
    """Asks the home to run a job, or to attach to it if the home has it."""

    request_id: str
    job: Job
    trace: str = ""
    wait: bool = True


class Fetch(Message):
    """Asks for a job's answer; waits for it if `wait`."""

    request_id: str
    job_id: str
    team: str
    wait: bool = True


class Cancel(Message):
    """Asks the home to cancel a job."""

    request_id: str
    job_id: str
    team: str


class Reply(Message):
    """A home's answer to the attempt that it names."""

    request_id: str
    answer: Answer


class Moved(Message):
    """Says that the receiver of a request is not the id's home."""

    request_id: str
    roster: int


# Between a home and the agents that run its tasks.


class Waiting(Message):
    """Says that tasks wait at the sender.

    `remaining_tasks` is the number of tasks that remain of the first job in the
    queue.
    """

    service: str
    tasks: int
    remaining_tasks: int


class Pull(Message):
    """Asks a home for a task for a free slot that is reserved for it."""

    service: str
    free_slots: int


class Nothing(Message):
    """Answers a pull when no task waits."""

    service: str


class Grant(Message):
    """Grants one task to an agent.

    `number` identifies the grant and is unique for each home. `waiting` is the
    number of further tasks that wait, and `remaining_tasks` the number of tasks
    that remain of the first job in the queue.
    """

    number: int
    job_id: str
    index: int
    team: str
    service: str
    tasks: int
    payload: Any
    memory_mb: int
    cpus: int
    accelerators: int
    lease_ms: int
    waiting: int
    remaining_tasks: int
    pulled: bool
    trace: str = ""


class Refused(Message):
    """Says that the sender did not start a grant and never will."""

    number: int
    code: int
    free_slots: int


class Finished(Message):
    """Says how a started task ended."""

    number: int
    code: int
    result: Any
    detail: str
    run_ms: float
    free_slots: int


class Load(Message):
    """Says how many slots are free."""

    free_slots: int


class Stop(Message):
    """Asks an agent to stop granted tasks."""

    grant_numbers: tuple[int, ...]


class Probe(Message):
    """Asks for the state of grants that have been outstanding for long."""

    grant_numbers: tuple[int, ...]


class Handover(Message):
    """A leaving home's records for their successor.

    Each record is a job id, a team, a digest of the job and its answer.
    """

    number: int
    records: tuple[tuple[str, str, bytes, Answer], ...]


class HandoverTaken(Message):
    """Says that the successor has stored the records."""

    number: int


# Between any process and an entry: confirmations, changes and membership.


class Poll(Message):
    """Asks for a confirmation; names the sender and the versions that it has."""

    number: int
    member: Member
    versions: Versions
    leaving: bool = False
    handed_over: bool = False


class Confirmation(Message):
    """Answers a poll with the current versions.

    `age_s` is the age of the confirmation in seconds, or None if the versions are
    not confirmed. `announced` are the changes that may already be committed; they
    restrict the receiver if the confirmation is `by_quorum` and not by the store.
    """

    number: int
    versions: Versions
    age_s: float | None
    change: Change | None = None
    announced: tuple[Change, ...] = ()
    by_quorum: bool = False


class News(Message):
    """Carries a change that has just been committed."""

    change: Change


class Announce(Message):
    """Announces a change to an entry before it is committed."""

    number: int
    change: Change


class Announced(Message):
    """Says that the announced change now restricts the sender."""

    number: int


class Spans(Message):
    """Asks for the spans of a job, or answers such a request if `spans` is given."""

    request_id: str
    job_id: str
    spans: tuple[dict, ...] | None = None


CODEC = Codec(
    Submit
    | Fetch
    | Cancel
    | Reply
    | Moved
    | Waiting
    | Pull
    | Nothing
    | Grant
    | Refused
    | Finished
    | Load
    | Stop
    | Probe
    | Handover
    | HandoverTaken
    | Poll
    | Confirmation
    | News
    | Announce
    | Announced
    | Spans
    | Rejected
)


def peer_of(member):
    """Return the `Peer` of a member of the roster."""
    return Peer(member.address, member.incarnation)
