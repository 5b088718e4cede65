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

    STARTED = "started", "The process starts."
    STOPPING = "stopping", "The process was asked to stop."
    STOPPED = "stopped", "The process has finished its shutdown."
    RELOADED = "reloaded", "A signal asked to reload; new settings need a restart."
    LINES_LEFT_OUT = "lines_left_out", "Log lines were dropped to limit their rate."
    FAILURE_SUMMARY = (
        "failure_summary",
        "Counts since the start of events that may explain two runs of a task.",
    )

    REQUEST_ANSWERED = "request_answered", "A request was answered."
    REQUESTS_REJECTED = (
        "requests_rejected",
        "Requests were rejected before they were complete, or connections closed.",
    )

    CALLER_LEFT = "caller_left", "A request was read after its caller had left."
    REQUEST_LATE = (
        "request_late",
        "A request was read so late that its caller may have submitted it elsewhere.",
    )
    JOB_ACCEPTED = "job_accepted", "A job was accepted, with its forecast."
    JOB_ATTACHED = "job_attached", "A request waits for a job accepted before."
    JOB_FOLLOWED = "job_followed", "A request waits for a job of another entry."
    JOB_RECLAIMED = "job_reclaimed", "A job of another entry is started here."
    JOB_YIELDED = "job_yielded", "A job is left to the entry that its caller uses now."
    JOB_OVERLAPS = (
        "job_overlaps",
        "Another entry had runs of a job that is open here when it gave the job up.",
    )
    JOB_REFUSED = "job_refused", "A job was refused; none of its tasks has run."
    JOB_DONE = "job_done", "All tasks of a job succeeded."
    JOB_FAILED = "job_failed", "A task failed or crashed workers too often."
    JOB_CANCELLED = (
        "job_cancelled",
        "A caller cancelled a job, before or after this request.",
    )
    JOB_GIVEN_UP = "job_given_up", "A started job will not end in time."
    JOB_ABANDONED = "job_abandoned", "No request waits for a job any longer."

    CANCEL_REQUESTED = "cancel_requested", "A caller cancelled a job at this entry."
    CANCEL_RECEIVED = "cancel_received", "Another entry's cancel ends an open job."
    CANCELS_NOT_KEPT = (
        "cancels_not_kept",
        "An entry keeps too many cancels to keep those of another one.",
    )
    CANCELS_RECEIVED_LATE = (
        "cancels_received_late",
        "An entry acknowledged cancels that had to be repeated or are older than it.",
    )
    CANCELS_UNACKNOWLEDGED = (
        "cancels_unacknowledged",
        "Cancels expired that an entry never acknowledged.",
    )
    CANCELLED_JOB_ANNOUNCED = (
        "cancelled_job_announced",
        "An entry announced a job that was cancelled, and is sent the cancel again.",
    )

    RUNS_ORDERED = "runs_ordered", "Tasks of a job were sent to agents."
    RUN_FAILED = "run_failed", "A run ended without success."
    RUN_RETRIED = "run_retried", "A task starts again that may have run before."
    RUN_MOVED = "run_moved", "A late run is stopped and retried elsewhere."
    RUN_LEFT = "run_left", "A late run goes on, as moving it saves no time."
    RUNS_UNWANTED = "runs_unwanted", "An agent lists runs that no open job needs."
    RUN_REFUSED = "run_refused", "An agent refused to start a run."
    RUN_STOPPED = "run_stopped", "An agent stopped a run."
    RUN_UNSURE = "run_unsure", "A worker did not answer a request to start a run."
    RUN_FOREIGN = "run_foreign", "A worker lists a run its agent did not start."
    RUN_PRESUMED_LOST = (
        "run_presumed_lost",
        "An agent reported the end of a run that its worker had not listed.",
    )
    RUN_OUTLIVED_REPORT = (
        "run_outlived_report",
        "A worker listed the end of a run that was alive when reported as ended.",
    )
    RUN_END_LISTED_LATE = (
        "run_end_listed_late",
        "A worker listed how a run ended whose lease had expired unheard.",
    )
    RUN_ADOPTED = "run_adopted", "A later boot of a worker has a run of the former."
    RUN_OTHER_BOOT = (
        "run_other_boot",
        "The boot of the worker that answered a start is, or may be, another one.",
    )

    WORKER_JOINED = "worker_joined", "The first message from an agent arrived."
    WORKER_CHANGED = "worker_changed", "A worker began or ceased to accept runs."
    WORKER_LOST = "worker_lost", "An agent timed out; its runs must have ended."
    WORKER_RESTS = "worker_rests", "A worker is ejected after consecutive failures."
    WORKER_BOOT = "worker_boot", "An agent detected a new boot of its worker."
    WORKER_DEPARTS = "worker_departs", "A worker announced that it shuts down now."
    WORKER_GONE = "worker_gone", "Another boot replaced that of a worker."
    WORKER_CRASHED = "worker_crashed", "A worker ended without notice, with its runs."
    CRASH_REPORTED = "crash_reported", "An agent reported a crash of its worker."
    QUEUE_CONFINED = "queue_confined", "Jobs of a queue run on few workers only."
    QUEUE_RELEASED = "queue_released", "Jobs of a queue may run on all workers again."
    WORKER_SILENT = "worker_silent", "A worker does not answer its agent."
    LEASE_EXPIRED = (
        "lease_expired",
        "A silent worker's lease expired, and with it runs.",
    )
    WORKER_ANSWERS = "worker_answers", "A worker answers its agent again."

    DISPATCHER_SILENT = "dispatcher_silent", "A dispatcher does not answer an agent."
    DISPATCHER_ANSWERS = "dispatcher_answers", "A dispatcher answers an agent again."
    OVERLOADED = "overloaded", "An entry sheds load, limited by its processor."
    RELIEVED = "relieved", "An entry accepts all requests again."
    ENTRY_HEARD = "entry_heard", "An entry receives messages from another entry."
    ENTRY_SILENT = "entry_silent", "An entry timed out another entry."
    ENTRY_RELAYED = (
        "entry_relayed",
        "An entry sends messages to another one by way of agents too.",
    )
    ENTRY_NOT_RELAYED = (
        "entry_not_relayed",
        "An entry reaches another one directly again, or takes it to have stopped.",
    )
    ISOLATED = (
        "isolated",
        "An entry lost contact with all others and gives up its jobs.",
    )
    REJOINED = "rejoined", "An isolated entry is in contact again."
    ALL_EVACUATED = (
        "all_evacuated",
        "All workers that an entry reaches are in evacuated data centres.",
    )
    WORKERS_BACK = (
        "workers_back",
        "An entry no longer reaches only workers in evacuated data centres.",
    )
    ORDERS_APPLIED = "orders_applied", "Newer orders from operators are in force here."
    ORDERS_RELAYED = "orders_relayed", "Newer orders came by way of an agent."
    ORDERS_REFUSED = "orders_refused", "Orders would revert the configuration."
    STORE_LOST = "store_lost", "The platform's store does not answer."
    STORE_REGAINED = "store_regained", "The platform's store answers again."


# The events that are dropped last, since they explain failures.
IMPORTANT = frozenset(EventName) - {
    EventName.REQUEST_ANSWERED,
    EventName.JOB_ACCEPTED,
    EventName.JOB_DONE,
    EventName.RUNS_ORDERED,
    EventName.RUN_LEFT,
    EventName.CANCEL_REQUESTED,
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
