"""The events that the processes log, with a closed set of names.

Decisions return events among their effects; ``telemetry.journal`` writes them.
"""

import enum
from dataclasses import dataclass, field


class EventName(enum.StrEnum):
    """The name of each event, and when it is written."""

    meaning: str

    def __new__(cls, value, meaning):
        """Return a member with its value and its meaning."""
        name = str.__new__(cls, value)
        name._value_ = value
        name.meaning = meaning
        return name

    STARTED = "started", "The process serves."
    STOPPING = "stopping", "The process has been told to stop."
    STOPPED = "stopped", "The process has ended its work."
    RELOADED = "reloaded", "A signal told of new settings; a restart reads them."
    LINES_LEFT_OUT = "lines_left_out", "Lines were left out to bound the volume."

    REQUEST_ANSWERED = "request_answered", "A request has its answer."

    JOB_ACCEPTED = "job_accepted", "A job is taken, with its forecast."
    JOB_ATTACHED = "job_attached", "A request waits for a job that is known already."
    JOB_REFUSED = "job_refused", "A job is refused; none of its tasks has run."
    JOB_DONE = "job_done", "Every task of a job has ended well."
    JOB_FAILED = "job_failed", "A task of a job failed too often."
    JOB_GIVEN_UP = "job_given_up", "A job was begun and does not end in time."
    JOB_ABANDONED = "job_abandoned", "Nobody waits for a job any more."

    RUNS_ORDERED = "runs_ordered", "Tasks of a job are sent to agents."
    RUN_FAILED = "run_failed", "A run has ended in any other way."
    RUN_MOVED = "run_moved", "A late run is stopped, to be tried elsewhere."
    RUN_REFUSED = "run_refused", "An agent does not start a run."
    RUN_STOPPED = "run_stopped", "An agent stops a run."
    RUN_UNSURE = "run_unsure", "The worker has not answered an order to start."
    RUN_FOREIGN = "run_foreign", "A worker lists a run that its agent did not order."

    WORKER_JOINED = "worker_joined", "An agent is heard for the first time."
    WORKER_CHANGED = "worker_changed", "A worker takes runs now, or no longer."
    WORKER_LOST = "worker_lost", "An agent is silent; its runs must have ended."
    WORKER_RESTS = "worker_rests", "A worker gets no runs after failures in a row."
    WORKER_BOOT = "worker_boot", "An agent meets a boot of its worker."
    WORKER_GONE = "worker_gone", "A boot of a worker is gone, and its runs with it."
    WORKER_SILENT = "worker_silent", "A worker does not answer its agent."
    WORKER_ANSWERS = "worker_answers", "A worker answers its agent again."

    DISPATCHER_SILENT = "dispatcher_silent", "An agent's questions have no answer."
    DISPATCHER_ANSWERS = "dispatcher_answers", "A dispatcher answers its agent again."
    OVERLOADED = "overloaded", "An entry's own processor bounds what it takes."
    RELIEVED = "relieved", "An entry takes all that comes again."
    ENTRY_HEARD = "entry_heard", "An entry hears another one."
    ENTRY_SILENT = "entry_silent", "An entry hears another one no longer."
    ORDERS_APPLIED = "orders_applied", "Operators' newer orders are in force here."
    ORDERS_REFUSED = "orders_refused", "Orders would revert the configuration."
    STORE_LOST = "store_lost", "The platform's store does not answer."
    STORE_REGAINED = "store_regained", "The platform's store answers again."


# The events that are dropped last, since they explain failures.
IMPORTANT = frozenset(EventName) - {
    EventName.REQUEST_ANSWERED,
    EventName.JOB_ACCEPTED,
    EventName.JOB_DONE,
    EventName.RUNS_ORDERED,
}


@dataclass(frozen=True, slots=True)
class Event:
    """One event.

    Attributes
    ----------
    job_id : str
        The job that the event concerns; empty for none.
    fields : dict
        The inputs of the decision, with ages and versions, and its outcome.
    """

    name: EventName
    job_id: str = ""
    fields: dict = field(default_factory=dict)
