"""Assigns the waiting tasks of one dispatcher to the resources of workers."""

from collections import Counter

from ragwortlug.envelope import Send
from ragwortlug.jobs import dispatch_events as events
from ragwortlug.jobs.demand_notifier import DemandNotifier
from ragwortlug.lease_messages import StartRuns
from ragwortlug.restartable_model import Resources, Run


class RunAssigner:
    """Decides which task starts where, in the order of work.

    Parameters
    ----------
    workers : KnownWorkers
        The workers known to the dispatcher.
    waiting_jobs : WaitingJobs
        The jobs that have waiting tasks.
    risky_jobs : RiskyJobs
        Confines jobs that may crash workers.
    outstanding : dict
        The assignments that have not ended, to which it adds: number to record and
        task.
    load_refusals : LoadRefusals
        Counts the starts.
    first_number : int
        Number of the first assignment.
    """

    def __init__(
        self,
        workers,
        waiting_jobs,
        risky_jobs,
        outstanding,
        load_refusals,
        first_number,
    ):
        self._workers = workers
        self._waiting_jobs = waiting_jobs
        self._risky_jobs = risky_jobs
        self._outstanding = outstanding
        self._load_refusals = load_refusals
        self._demand_notifier = DemandNotifier(workers)
        self._next_number = first_number
        self._due = True

    def request(self):
        """Let the next `dispatch` look for work, as something has changed."""
        self._due = True

    def dispatch(self, now):
        """Assign waiting tasks to free resources; notify agents if some still wait.

        Does nothing unless it was requested since the last call.
        """
        if not self._due:
            return []
        self._due = False
        effects = []
        for service in self._waiting_jobs.services:
            runs = {}
            blocked = self._assign_waiting(service, runs, effects, now)
            rank, resources, full_agents = blocked or (None, Resources(), ())
            for incarnation, assigned in runs.items():
                worker = self._workers.get(incarnation)
                demand = rank, resources
                if incarnation in full_agents:
                    demand = None, Resources()
                message = StartRuns(
                    worker.requested_at_ms, tuple(assigned), 0, *demand, service
                )
                effects.append(Send(worker.peer, message))
                worker.on_demand_sent(demand[0], now)
            if blocked is not None:
                avoided = self._risky_jobs.avoided(service, now) | full_agents
                effects += self._demand_notifier.notify(
                    service, rank, resources, now, avoided
                )
        return effects

    def answer_offer(self, worker, offer, open_jobs, now):
        """Assign runs to the resources that an agent reserves; return the effects.

        `open_jobs` is the number of the dispatcher's jobs, an upper bound of the
        starts that its worker may get while it is on probation.
        """
        worker.notified = False
        service = worker.state.service
        in_service = self._workers.is_in_service(worker)
        slots = worker.health.usable_slots(open_jobs + 1, now)
        ranked = self._waiting_jobs.ranked(service, now) if in_service and slots else []
        free_resources = offer.free_resources
        runs = []
        best_remaining = None
        effects = []
        for rank, record in ranked:
            if not self._risky_jobs.may_run_on(worker, record, now):
                continue
            if not record.begun and record.is_deserted:
                continue
            assignments = []
            for task in self._waiting_jobs.eligible_tasks(record):
                step = record.job.steps[task.step]
                if worker.peer.incarnation in self._full_agents(record, task):
                    continue
                if (
                    free_resources.can_fit(step.resources)
                    and len(runs) < max(slots, 1)
                    and (not step.label or step.label in worker.state.labels)
                    and worker.peer.incarnation not in task.excluded_agents
                    and worker.health.usable_slots(1, now)
                ):
                    free_resources = free_resources - step.resources
                    runs.append(self._assign(record, task, worker, now))
                    assignments.append((task, worker))
                elif best_remaining is None:
                    best_remaining = (rank, step.resources)
            effects += self._assignment_events(record, assignments, now)
        worker.notified = best_remaining is not None
        rank, resources = best_remaining or (None, Resources())
        message = StartRuns(
            worker.requested_at_ms, tuple(runs), offer.number, rank, resources, service
        )
        return [*effects, Send(worker.peer, message)]

    def _assign_waiting(self, service, runs, effects, now):
        """Assign tasks of a service.

        Returns the rank and the resources of the first task that fits no worker, and
        the agents that can't run it, or None if all tasks were assigned. Confined jobs
        are left out of that, since no resources of other workers help them, and they
        do not wait behind others. A task that only its step's limit keeps from a
        worker is returned if there is no other, and lets the jobs after it go first.
        """
        first_blocked = None
        first_limited = None
        avoided = self._risky_jobs.avoided(service, now)
        ranked = self._waiting_jobs.ranked(service, now)
        for rank, record in self._risky_jobs.sort(ranked):
            is_confined = self._risky_jobs.is_confined(record, now)
            if first_blocked is not None and not is_confined:
                continue
            if not record.begun and record.is_deserted:
                continue
            assignments = []
            limited_steps = set()
            for task in self._waiting_jobs.eligible_tasks(record):
                if task.step in limited_steps:
                    continue
                step = record.job.steps[task.step]
                full_agents = self._full_agents(record, task)
                if is_confined:
                    worker = self._risky_jobs.choose(record, step, now, full_agents)
                else:
                    worker = self._choose(record, task, now, avoided | full_agents)
                if worker is None:
                    if is_confined:
                        break
                    if full_agents and self._choose(record, task, now, avoided):
                        limited_steps.add(task.step)
                        first_limited = first_limited or (
                            rank,
                            step.resources,
                            full_agents,
                        )
                        continue
                    first_blocked = rank, step.resources, full_agents
                    break
                run = self._assign(record, task, worker, now)
                assignments.append((task, worker))
                runs.setdefault(worker.peer.incarnation, []).append(run)
            effects += self._assignment_events(record, assignments, now)
            if first_blocked is not None and self._risky_jobs.is_calm:
                break
        return first_blocked or first_limited

    def _choose(self, record, task, now, avoided):
        """Return the worker for a task of a job that is not confined, or None."""
        step = record.job.steps[task.step]
        return self._workers.choose(
            record.queue.service,
            step.resources,
            step.label,
            task.excluded_agents,
            now,
            avoided,
        )

    def _full_agents(self, record, task):
        """Return the agents whose worker has as many tasks of a step as it may.

        Runs count until their end is reported, also those of a former job of the same
        id and those of an agent that was replaced by another one on its worker.

        Returns
        -------
        frozenset of str
            Incarnations; empty for a step without a limit.
        """
        limit = record.job.steps[task.step].max_per_worker
        if not limit:
            return frozenset()
        agents = (
            other_task.agent
            for other, other_task in self._outstanding.values()
            if other.job.id == record.job.id and other_task.step == task.step
        )
        counts = Counter(self._workers.get(agent).peer.address for agent in agents)
        return frozenset(
            worker.peer.incarnation
            for worker in self._workers
            if counts[worker.peer.address] >= limit
        )

    def _assign(self, record, task, worker, now):
        """Record the assignment of a task to a worker and return its `Run`."""
        number = self._next_number
        self._next_number += 1
        step = record.job.steps[task.step]
        self._load_refusals.on_started(record, task, now)
        record.assign(task, number, worker.peer.incarnation, now)
        self._outstanding[number] = (record, task)
        worker.on_assigned(number, step.resources, now)
        return Run(
            number,
            record.job.id,
            task.step,
            task.index,
            task.attempt,
            record.job.payload,
            step.resources,
            task.expected_ms * worker.slowdown,
            record.queue.name,
            step.label,
        )

    def _assignment_events(self, record, assignments, now):
        """Return the events of a job's new assignments, if there are any."""
        if not assignments:
            return []
        self._waiting_jobs.update(record, is_open=True)
        effects = [events.runs_assigned(record, assignments, now)]
        for task, worker in assignments:
            if task.former_run is not None:
                effects.append(events.run_retried(record, task, worker, now))
                task.former_run = None
        return effects
