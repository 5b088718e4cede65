"""The events that tell of a dispatcher's decisions, with what decided them."""

from ragwortlug.codes import Code, Verdict
from ragwortlug.events import Event, EventName

MS_PER_S = 1000.0


def whole_ms(seconds):
    """Return seconds as whole milliseconds."""
    return round(seconds * MS_PER_S)


def job_fields(record, critical_path_ms, jobs, workers, version, now):
    """Return what decides on taking a job.

    Parameters
    ----------
    critical_path_ms : float
        Expected longest chain of run times.
    jobs, workers : int
        Jobs that are open here, and workers that serve the queue.
    version : int
        The configuration in force here.
    """
    return {
        "queue": record.queue.name,
        "tasks": len(record.tasks),
        "chain_ms": round(critical_path_ms),
        "limit_ms": whole_ms(record.deadline - now),
        "jobs": jobs,
        "workers": workers,
        "version": version,
    }


def job_abandoned(record, now):
    """Return the event of a job that nobody waits for any more."""
    fields = {
        "elapsed_ms": whole_ms(now - record.arrived),
        "begun": record.ever_assigned,
    }
    return Event(EventName.JOB_ABANDONED, record.job.id, fields)


def job_finished(record, code, now):
    """Return the event of a job's answer."""
    fields = {
        "code": code.name,
        "elapsed_ms": whole_ms(now - record.arrived),
        "objective_ms": whole_ms(record.objective_at - record.arrived),
        "limit_ms": whole_ms(record.deadline - record.arrived),
        "starts": sum(task.attempt for task in record.tasks),
        "failures": sum(task.failures for task in record.tasks),
        "run_ms": [task.run_ms for task in record.tasks],
    }
    return Event(_finished_name(code), record.job.id, fields)


def runs_assigned(record, assignments, now):
    """Return the event of a decision to order runs of one job.

    Parameters
    ----------
    assignments : sequence of tuple
        Task and worker of each run.

    Notes
    -----
    Each of the told orders tells the task, its attempt, the number of the order, the
    agent, the run time expected there, and what was known of the agent: its free
    millicores after the order, and the age of its latest word.
    """
    told = [
        {
            **_run_fields(task, worker),
            "expected_ms": round(task.expected_ms * worker.slowdown),
            "free_mc": worker.free_resources.cpu,
            "heard_ms": whole_ms(now - worker.last_contact_at),
        }
        for task, worker in assignments
    ]
    fields = {"waited_ms": whole_ms(now - record.arrived), "orders": told}
    return Event(EventName.RUNS_ORDERED, record.job.id, fields)


def run_failed(record, task, worker, end, run_ms):
    """Return the event of a run's end, if it has not ended well."""
    fields = _run_fields(task, worker) | {"end": end.value, "run_ms": round(run_ms)}
    return Event(EventName.RUN_FAILED, record.job.id, fields)


def run_moved(record, task, worker, run_ms, remaining_run_ms):
    """Return the event of a late run that is tried elsewhere."""
    remaining = None if remaining_run_ms is None else round(remaining_run_ms)
    fields = _run_fields(task, worker) | {"run_ms": round(run_ms), "rest_ms": remaining}
    return Event(EventName.RUN_MOVED, record.job.id, fields)


def acceptance_changed(worker, before):
    """Return the events of an agent's word; `before` is what it said last, or None."""
    if worker.accepting == before:
        return []
    name = EventName.WORKER_JOINED if before is None else EventName.WORKER_CHANGED
    fields = {"agent": worker.peer.address, "accepting": worker.accepting}
    return [Event(name, "", fields)]


def worker_lost(worker, now):
    """Return the event of an agent that has been silent for too long."""
    fields = {
        "agent": worker.peer.address,
        "silent_ms": whole_ms(now - worker.last_contact_at),
        "runs": len(worker.outstanding),
    }
    return Event(EventName.WORKER_LOST, "", fields)


def worker_ejected(record, worker, end):
    """Return the event of a worker that gets no runs for a while."""
    fields = {"agent": worker.peer.address, "end": end.value}
    return Event(EventName.WORKER_RESTS, record.job.id, fields)


def orders_applied(orders, version):
    """Return the event of operators' newer orders."""
    fields = {"revision": orders.revision, "version": version}
    return Event(EventName.ORDERS_APPLIED, "", fields | {"evacuated": orders.evacuated})


def _finished_name(code):
    """Return the event that tells how a job was settled."""
    if code is Code.OK:
        return EventName.JOB_DONE
    if code is Code.JOB_FAILED:
        return EventName.JOB_FAILED
    refused = code.verdict is Verdict.NOT_RUN
    return EventName.JOB_REFUSED if refused else EventName.JOB_GIVEN_UP


def _run_fields(task, worker):
    """Return what names a run; its agent may be forgotten already."""
    return {
        "task": f"{task.step}.{task.index}",
        "attempt": task.attempt,
        "number": task.number,
        "agent": "" if worker is None else worker.peer.address,
    }
