"""The events that tell of a dispatcher's decisions, with what decided them."""

from ragwortlug.codes import Code, Verdict
from ragwortlug.events import Event, EventName

MS_PER_S = 1000.0


def whole_ms(seconds):
    """Return seconds as whole milliseconds."""
    return round(seconds * MS_PER_S)


def job_facts(record, chain_ms, jobs, workers, version, now):
    """Return what decides on taking a job.

    Parameters
    ----------
    chain_ms : float
        Expected longest chain of run times.
    jobs, workers : int
        Jobs that are open here, and workers that serve the queue.
    version : int
        The configuration in force here.
    """
    return {
        "queue": record.queue.name,
        "tasks": len(record.tasks),
        "chain_ms": round(chain_ms),
        "limit_ms": whole_ms(record.deadline - now),
        "jobs": jobs,
        "workers": workers,
        "version": version,
    }


def job_abandoned(record, now):
    """Return the event of a job that nobody waits for any more."""
    facts = {"elapsed_ms": whole_ms(now - record.arrived), "begun": record.begun}
    return Event(EventName.JOB_ABANDONED, record.job.id, facts)


def job_settled(record, code, now):
    """Return the event of a job's answer."""
    facts = {
        "code": code.name,
        "elapsed_ms": whole_ms(now - record.arrived),
        "objective_ms": whole_ms(record.objective_at - record.arrived),
        "limit_ms": whole_ms(record.deadline - record.arrived),
        "starts": sum(task.attempt for task in record.tasks),
        "failures": sum(task.failures for task in record.tasks),
        "run_ms": [task.run_ms for task in record.tasks],
    }
    return Event(_settled_name(code), record.job.id, facts)


def runs_ordered(record, orders, now):
    """Return the event of a decision to order runs of one job.

    Parameters
    ----------
    orders : sequence of tuple
        Task and worker of each run.

    Notes
    -----
    Each of the told orders tells the task, its attempt, the number of the order, the
    agent, the run time expected there, and what was known of the agent: its free
    millicores after the order, and the age of its latest word.
    """
    told = [
        {
            **_run_facts(task, worker),
            "expected_ms": round(task.expected_ms * worker.ratio),
            "free_mc": worker.free.cpu,
            "heard_ms": whole_ms(now - worker.heard_at),
        }
        for task, worker in orders
    ]
    facts = {"waited_ms": whole_ms(now - record.arrived), "orders": told}
    return Event(EventName.RUNS_ORDERED, record.job.id, facts)


def run_failed(record, task, worker, end, run_ms):
    """Return the event of a run's end, if it has not ended well."""
    facts = _run_facts(task, worker) | {"end": end.value, "run_ms": round(run_ms)}
    return Event(EventName.RUN_FAILED, record.job.id, facts)


def run_moved(record, task, worker, run_ms, rest_ms):
    """Return the event of a late run that is tried elsewhere."""
    rest = None if rest_ms is None else round(rest_ms)
    facts = _run_facts(task, worker) | {"run_ms": round(run_ms), "rest_ms": rest}
    return Event(EventName.RUN_MOVED, record.job.id, facts)


def worker_heard(worker, before):
    """Return the events of an agent's word; `before` is what it said last, or None."""
    if worker.accepting == before:
        return []
    name = EventName.WORKER_JOINED if before is None else EventName.WORKER_CHANGED
    facts = {"agent": worker.peer.address, "accepting": worker.accepting}
    return [Event(name, "", facts)]


def worker_lost(worker, now):
    """Return the event of an agent that has been silent for too long."""
    facts = {
        "agent": worker.peer.address,
        "silent_ms": whole_ms(now - worker.heard_at),
        "runs": len(worker.out),
    }
    return Event(EventName.WORKER_LOST, "", facts)


def worker_rests(record, worker, end):
    """Return the event of a worker that gets no runs for a while."""
    facts = {"agent": worker.peer.address, "end": end.value}
    return Event(EventName.WORKER_RESTS, record.job.id, facts)


def orders_applied(orders, version):
    """Return the event of operators' newer orders."""
    facts = {"revision": orders.revision, "version": version}
    return Event(EventName.ORDERS_APPLIED, "", facts | {"evacuated": orders.evacuated})


def _settled_name(code):
    """Return the event that tells how a job was settled."""
    if code is Code.OK:
        return EventName.JOB_DONE
    if code is Code.JOB_FAILED:
        return EventName.JOB_FAILED
    refused = code.verdict is Verdict.NOT_RUN
    return EventName.JOB_REFUSED if refused else EventName.JOB_GIVEN_UP


def _run_facts(task, worker):
    """Return what names a run; its agent may be forgotten already."""
    return {
        "task": f"{task.step}.{task.index}",
        "attempt": task.attempt,
        "number": task.number,
        "agent": "" if worker is None else worker.peer.address,
    }
