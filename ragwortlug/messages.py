"""Messages between the processes that run jobs at most once.

Entries relay to homes, homes hand tasks to agents, and all confirm their views.
"""

from typing import Any

from ragwortlug.envelope import Codec, Message, Peer, Rejected
from ragwortlug.model import Answer, Job
from ragwortlug.view.roster import Member
from ragwortlug.view.view import Change, Versions

# Between an entry and a home. `request_id` names one attempt of one caller.


class Submit(Message):
    """Asks the home to run a job, or to attach to it if it is known."""

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
    """Asks the home to give up a job."""

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
    """Says that tasks wait at the sender; `remaining_tasks` is the least job's rest."""

    service: str
    tasks: int
    remaining_tasks: int


class Pull(Message):
    """Asks a home for a task, for a slot that is free and kept for it."""

    service: str
    free_slots: int


class Nothing(Message):
    """Answers a pull when no task waits."""

    service: str


class Grant(Message):
    """Hands one task to an agent.

    `number` names the grant, once for each home; `waiting` tells how many more
    tasks wait and `remaining_tasks` the rest of the best job.
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
    """Says that a grant is not started, and never will be."""

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
    """Asks what became of grants that have been out for long."""

    grant_numbers: tuple[int, ...]


class Handover(Message):
    """A leaving home's records for their heir: job, team, digest and answer."""

    number: int
    records: tuple[tuple[str, str, bytes, Answer], ...]


class HandoverTaken(Message):
    """Says that the heir keeps the records."""

    number: int


# Between any process and an entry: freshness, news and membership.


class Poll(Message):
    """Asks for a confirmation; tells who asks and what it knows."""

    number: int
    member: Member
    versions: Versions
    leaving: bool = False
    handed_over: bool = False


class Confirmation(Message):
    """Answers a poll: what is current, `age_s` old; None if not confirmed.

    `announced` are the changes that may be committed by now; they restrict the
    receiver if the answer is given `by_quorum` instead of by the store.
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
    """Tells an entry of a change about to be committed."""

    number: int
    change: Change


class Announced(Message):
    """Says that the announced change now restricts the sender."""

    number: int


class Spans(Message):
    """Asks for the spans of a job, or, with `spans`, answers."""

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
    """Return the process that a member of the roster is."""
    return Peer(member.address, member.incarnation)
