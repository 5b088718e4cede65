"""Builds the events that log a dispatcher's decisions and their reasons."""

from ragwortlug.codes import Code, Verdict
from ragwortlug.events import Event, EventName

MS_PER_S = 1000.0


def whole_ms(seconds):
    """Return seconds as milliseconds, rounded to an integer."""
    return round(seconds * MS_PER_S)


def job_fields(record, critical_path_ms, jobs, workers, version, now):
    """Return the event fields on which the admission of a job depends.

    Parameters
    ----------
    critical_path_ms : float
        Expected run time of the longest chain of steps, in milliseconds.
    jobs, workers : int
        Number of unfinished jobs here, and of workers that serve the queue.
    version : int
        Version of the configuration in force here.
    """
    return {
        "queue": record.queue.name,
        "tasks": len(record.tasks),
        "chain_ms": round(critical_path_ms),
        "least_ms": round(record.least_path_ms(now)),
        "checks_estimate": record.checks_estimate,
        "limit_ms": whole_ms(record.deadline - now),
        "age_ms": whole_ms(now - record.arrived),
        "jobs": jobs,
        "workers": workers,
        "version": version,
    }


def overload_fields(limit_per_s, lag_s):
    """Return the event fields of a job that an entry's processor can't handle.

    Parameters
    ----------
    limit_per_s : float or None
        Tasks that the entry admits per second; None without a limit.
    lag_s : float
        How late its ticks or its messages are, in seconds.
    """
    return {
        "reason": "overload",
        "tasks_per_s": None if limit_per_s is None else round(limit_per_s),
        "late_ms": whole_ms(lag_s),
    }


def caller_left(job_id, arrived, deadline, now):
    """Return the event of a request that was read after its caller had left."""
    fields = {"limit_ms": whole_ms(deadline - now), "age_ms": whole_ms(now - arrived)}
    return Event(EventName.CALLER_LEFT, job_id, fields)


def request_late(job_id, arrived, now):
    """Return the event of a request that was read late; see `EventName`."""
    return Event(EventName.REQUEST_LATE, job_id, {"age_ms": whole_ms(now - arrived)})


def job_attached(record):
    """Return the event of a request that is attached to an open job."""
    fields = {"requests": len(record.requests)}
    return Event(EventName.JOB_ATTACHED, record.job.id, fields)


def job_followed(request):
    """Return the event of a request that waits for a job of another entry."""
    return Event(
        EventName.JOB_FOLLOWED, request.job.id, {"owner": request.owner.address}
    )


def job_reclaimed(request):
    """Return the event of a job that its owner has no run of, and is started here."""
    return Event(
        EventName.JOB_RECLAIMED, request.job.id, {"owner": request.owner.address}
    )


def job_yielded(record, owner, now):
    """Return the event of a job that is left to another entry."""
    fields = {"owner": owner.address, "elapsed_ms": whole_ms(now - record.arrived)}
    return Event(EventName.JOB_YIELDED, record.job.id, fields)


def job_overlaps(record, sender, now):
    """Return the event of an open job that another entry has just given up."""
    fields = {
        "entry": sender.address,
        "elapsed_ms": whole_ms(now - record.arrived),
        "begun": record.begun,
    }
    return Event(EventName.JOB_OVERLAPS, record.job.id, fields)


def job_abandoned(record, now):
    """Return the event of a job for which no caller waits any more."""
    fields = {
        "elapsed_ms": whole_ms(now - record.arrived),
        "begun": record.begun,
    }
    return Event(EventName.JOB_ABANDONED, record.job.id, fields)


def job_finished(record, code, now, refusal_fields=None):
    """Return the event of a finished job with the code of its answer.

    `refusal_fields` explain why a job was refused that had been accepted.
    """
    fields = {
        "code": code.name,
        "elapsed_ms": whole_ms(now - record.arrived),
        "objective_ms": whole_ms(record.objective_at - record.arrived),
        "limit_ms": whole_ms(record.deadline - record.arrived),
        "starts": sum(task.attempt for task in record.tasks),
        "failures": sum(task.failures for task in record.tasks),
        "run_ms": [task.run_ms for task in record.tasks],
        **(refusal_fields or {}),
    }
    return Event(_finished_event_name(code), record.job.id, fields)


def job_failed_before(job_id):
    """Return the event of a job that is submitted again after it was given up."""
    fields = {"code": Code.JOB_FAILED.name, "elapsed_ms": 0}
    return Event(EventName.JOB_FAILED, job_id, fields)


def job_cancelled_before(job_id):
    """Return the event of a request for a job that was cancelled before."""
    fields = {"code": Code.CANCELLED_BEFORE.name, "elapsed_ms": 0}
    return Event(EventName.JOB_CANCELLED, job_id, fields)


def cancel_requested(job_id, record, owner, is_kept, kept):
    """Return the event of a caller's cancel.

    Parameters
    ----------
    record : RestartableRecord or None
        The job, if it is open here.
    owner : str
        Address of the entry that has announced the job; empty if none has.
    is_kept : bool
        Whether the cancel is kept for entries that don't have the job yet.
    kept : int
        Number of cancels that are kept here.
    """
    fields = {
        "open": record is not None,
        "begun": record is not None and record.begun,
        "owner": owner,
        "is_kept": is_kept,
        "kept": kept,
    }
    return Event(EventName.CANCEL_REQUESTED, job_id, fields)


def cancel_received(record, sender, now):
    """Return the event of another entry's cancel of an open job."""
    fields = {
        "entry": sender.address,
        "elapsed_ms": whole_ms(now - record.arrived),
        "begun": record.begun,
    }
    return Event(EventName.CANCEL_RECEIVED, record.job.id, fields)


def cancels_not_kept(sender, missing, kept):
    """Return the event of cancels of another entry for which there is no capacity."""
    fields = {"entry": sender.address, "cancels": missing, "kept": kept}
    return Event(EventName.CANCELS_NOT_KEPT, "", fields)


def cancels_received_late(sender, cancels, oldest_s):
    """Return the event of cancels that another entry has acknowledged late."""
    fields = {"entry": sender.address, "cancels": cancels}
    fields |= {"oldest_ms": whole_ms(oldest_s)}
    return Event(EventName.CANCELS_RECEIVED_LATE, "", fields)


def cancels_unacknowledged(address, cancels):
    """Return the event of expired cancels that an entry never acknowledged."""
    fields = {"entry": address, "cancels": cancels}
    return Event(EventName.CANCELS_UNACKNOWLEDGED, "", fields)


def cancelled_job_announced(job_id, sender, age_ms):
    """Return the event of a cancelled job that another entry has open."""
    fields = {"entry": sender.address, "age_ms": age_ms}
    return Event(EventName.CANCELLED_JOB_ANNOUNCED, job_id, fields)


def runs_assigned(record, assignments, now):
    """Return the event of the assignment of runs of one job to agents.

    Parameters
    ----------
    assignments : sequence of tuple
        Task and worker of each run.

    Notes
    -----
    Each assignment in the event has the task, its attempt, the number of the
    assignment, the agent, the run time expected there, the agent's free millicores
    after the assignment, and the time since the last contact with the agent.
    """
    entries = [
        {
            **_run_fields(task, worker),
            "expected_ms": round(task.expected_ms * worker.slowdown),
            "free_mc": worker.free_resources.cpu,
            "heard_ms": whole_ms(now - worker.last_contact_at),
        }
        for task, worker in assignments
    ]
    fields = {"waited_ms": whole_ms(now - record.arrived), "orders": entries}
    return Event(EventName.RUNS_ORDERED, record.job.id, fields)


def run_failed(record, task, worker, end, run_ms):
    """Return the event of a run whose end is not `RunEnd.DONE`."""
    fields = _run_fields(task, worker) | {"end": end.value, "run_ms": round(run_ms)}
    return Event(EventName.RUN_FAILED, record.job.id, fields)


def run_retried(record, task, worker, now):
    """Return the event of a task that is assigned again after `task.former_run`."""
    former = task.former_run
    fields = {
        "agent": worker.peer.address,
        "former_agent": former.agent,
        "end": former.end.value,
        "task": f"{task.step}.{task.index}",
        "attempt": task.attempt,
        "after_ms": whole_ms(now - former.ended_at),
    }
    return Event(EventName.RUN_RETRIED, record.job.id, fields)


def late_run_decided(record, task, worker, run, decision, moves, counts, usual_share):
    """Return the event of a late run that is moved to another worker or left.

    Parameters
    ----------
    run : LateRun
        The late run.
    decision : MoveDecision
        Why it is moved or left.
    counts : SlowCounts
        The recent runs of its worker.
    usual_share : float or None
        Median share of slow runs at the other workers.
    """
    fields = _run_fields(task, worker)
    fields |= {
        "why": decision.reason.value,
        "run_ms": round(run.run_ms),
        "rest_ms": _rounded(run.remaining_ms),
        "rerun_ms": _rounded(run.rerun_ms),
        "fault": _rounded(decision.fault, 3),
        "saving_ms": _rounded(decision.saving_ms),
        "slow_jobs": round(counts.slow, 1),
        "counted_jobs": round(counts.counted, 1),
        "usual_share": _rounded(usual_share, 3),
    }
    name = EventName.RUN_MOVED if moves else EventName.RUN_LEFT
    return Event(name, record.job.id, fields)


def runs_unwanted(agent, job_id, assignment_numbers):
    """Return the event of runs at an agent that no open job needs.

    `job_id` is empty for runs of a former process at this address.
    """
    fields = {"agent": agent.address, "numbers": list(assignment_numbers)}
    return Event(EventName.RUNS_UNWANTED, job_id, fields)


def acceptance_changed(worker, previous):
    """Return the event of a new agent or a change of its acceptance, as a list.

    The list is empty if nothing changed.

    Parameters
    ----------
    previous : bool or None
        Whether the agent accepted runs before; None for a new agent.
    """
    if worker.accepting == previous:
        return []
    name = EventName.WORKER_JOINED if previous is None else EventName.WORKER_CHANGED
    fields = {"agent": worker.peer.address, "accepting": worker.accepting}
    return [Event(name, "", fields)]


def worker_lost(worker, now):
    """Return the event of an agent whose contact has timed out."""
    fields = {
        "agent": worker.peer.address,
        "silent_ms": whole_ms(now - worker.last_contact_at),
        "runs": len(worker.outstanding),
    }
    return Event(EventName.WORKER_LOST, "", fields)


def crash_reported(agent, message, given_up):
    """Return the event of a reported crash; `given_up` are jobs now given up."""
    fields = {
        "agent": agent.address,
        "number": message.number,
        "jobs": sorted({run.job_id for run in message.runs}),
        "given_up": given_up,
    }
    return Event(EventName.CRASH_REPORTED, "", fields)


def queue_risk_changed(queue_name, is_risky, workers=()):
    """Return the event of a queue that is confined to `workers`, or released."""
    name = EventName.QUEUE_CONFINED if is_risky else EventName.QUEUE_RELEASED
    agents = [worker.peer.address for worker in workers]
    return Event(name, "", {"queue": queue_name, "agents": agents})


def isolation_changed(previous, current):
    """Return the event of an entry that lost or regained contact, as a list."""
    if current == previous:
        return []
    return [Event(EventName.ISOLATED if current else EventName.REJOINED)]


def relaying_changed(begun, ended):
    """Return the events of entries that are, or no longer, reached through agents."""
    names = dict.fromkeys(sorted(begun), EventName.ENTRY_RELAYED)
    names |= dict.fromkeys(sorted(ended), EventName.ENTRY_NOT_RELAYED)
    return [Event(name, "", {"entry": address}) for address, name in names.items()]


def worker_ejected(record, worker, end):
    """Return the event of a worker that is ejected: it gets no runs for a time."""
    fields = {"agent": worker.peer.address, "end": end.value}
    return Event(EventName.WORKER_RESTS, record.job.id, fields)


def orders_applied(orders, version):
    """Return the event of newer orders of the operators that were applied."""
    fields = {"revision": orders.revision, "version": version}
    return Event(EventName.ORDERS_APPLIED, "", fields | {"evacuated": orders.evacuated})


def _rounded(value, digits=None):
    """Return a rounded number; None stays None."""
    return None if value is None else round(value, digits)


def _finished_event_name(code):
    """Return the name of the event for a job that finished with a code."""
    if code is Code.OK:
        return EventName.JOB_DONE
    if code is Code.JOB_FAILED:
        return EventName.JOB_FAILED
    if code in (Code.CANCELLED, Code.CANCELLED_AFTER_START):
        return EventName.JOB_CANCELLED
    refused = code.verdict is Verdict.NOT_RUN
    return EventName.JOB_REFUSED if refused else EventName.JOB_GIVEN_UP


def _run_fields(task, worker):
    """Return the fields that identify a run; `worker` is None once removed."""
    return {
        "task": f"{task.step}.{task.index}",
        "attempt": task.attempt,
        "number": task.number,
        "agent": "" if worker is None else worker.peer.address,
    }
