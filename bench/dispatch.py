"""Measures what a dispatcher's decisions cost, by the number of workers."""

import random
import time

from ragwortlug.envelope import Peer, Send
from ragwortlug.jobs.dispatcher import Dispatcher
from ragwortlug.jobs.request_answer import RequestAnswer
from ragwortlug.lease_messages import Renewal, RunsEnded, StartRuns
from ragwortlug.lease_settings import RestartSettings
from ragwortlug.restartable_model import (
    Orders,
    Queue,
    QueueTable,
    Resources,
    RestartableJob,
    RunEnd,
    Step,
    WorkerState,
)

SIZES = (11, 62, 300, 1500)
JOBS = 60
TASKS = 5
JOB_EVERY_S = 0.007
RENEWALS = 200
QUEUES = (10, 50, 200)
QUEUE_WORKERS = 28
US_PER_S = 1_000_000
SERVICE = "carving"
FREE = Resources(64_000, 131_072, 0)


def measure_dispatch():
    """Print the processor time of a task and of a renewal for each fleet size."""
    print("workers  task, us  renewal, us")
    for size in SIZES:
        dispatcher = _dispatcher(size)
        task_us = _time_jobs(dispatcher) / (JOBS * TASKS)
        renewal_us = _time_renewals(dispatcher, size) / RENEWALS
        print(f"{size:7}  {task_us:8.0f}  {renewal_us:11.0f}")
    print("jobs that wait  renewal, us  end of a run, us")
    for jobs in QUEUES:
        dispatcher, runs = _busy_dispatcher(jobs)
        renewal_us = _time_busy_renewals(dispatcher) / RENEWALS
        end_us = _time_ends(dispatcher, runs) / len(runs)
        print(f"{jobs:14}  {renewal_us:11.0f}  {end_us:16.0f}")


def _dispatcher(size):
    """Return a dispatcher that knows so many idle workers."""
    dispatcher = Dispatcher(RestartSettings(), random.Random(1))
    queue = Queue("previews", "a.example", "/p/", SERVICE, 0, 4, 1.6, 60)
    dispatcher.on_orders_changed(Orders(1, QueueTable(1, (queue,))), 0.0)
    for number in range(size):
        dispatcher.on_renewal(_agent(number), _renewal(), 0.0)
    return dispatcher


def _agent(number):
    """Return an agent."""
    return Peer(f"tcp://10.1.0.{number}:1", f"agent-{number}")


def _renewal():
    """Return an idle agent's request for a renewal."""
    state = WorkerState(SERVICE, "patan", (), FREE, FREE, True)
    return Renewal(0, state)


def _time_jobs(dispatcher):
    """Return the microseconds that some jobs take from submission to answer."""
    queue = dispatcher.orders.table.queues[0]
    began = time.process_time()
    settled = 0
    for number in range(JOBS):
        now = number * JOB_EVERY_S
        step = Step(TASKS, Resources(6200, 64, 0), 120)
        job = RestartableJob(f"{number:016x}", "text", (step,))
        effects = dispatcher.submit(f"request-{number}", job, queue, 10.0, now)
        for effect in effects:
            if isinstance(effect, Send) and isinstance(effect.body, StartRuns):
                for run in effect.body.runs:
                    ended = RunsEnded(((run.number, RunEnd.DONE, 120.0),), FREE)
                    answers = dispatcher.on_runs_ended(effect.receiver, ended, now)
                    settled += sum(isinstance(each, RequestAnswer) for each in answers)
    assert settled == JOBS
    return (time.process_time() - began) * US_PER_S


def _time_renewals(dispatcher, size):
    """Return the microseconds that some renewals take."""
    began = time.process_time()
    for number in range(RENEWALS):
        dispatcher.on_renewal(_agent(number % size), _renewal(), 0.0)
    return (time.process_time() - began) * US_PER_S


def _busy_dispatcher(jobs):
    """Return a dispatcher with no room and so many waiting jobs, and its runs."""
    dispatcher = _dispatcher(QUEUE_WORKERS)
    queue = dispatcher.orders.table.queues[0]
    step = Step(TASKS, Resources(6200, 64, 0), 400)
    runs = []
    full = QUEUE_WORKERS * (FREE.cpu // step.resources.cpu) // TASKS
    for number in range(full + jobs):
        job = RestartableJob(f"{number:016x}", "text", (step,))
        for effect in dispatcher.submit(f"r{number}", job, queue, 60.0, 0.0):
            if isinstance(effect, Send) and isinstance(effect.body, StartRuns):
                runs += [(effect.receiver, run.number) for run in effect.body.runs]
    return dispatcher, runs


def _time_busy_renewals(dispatcher):
    """Return the microseconds that renewals take that bring no room."""
    began = time.process_time()
    for number in range(RENEWALS):
        agent = _agent(number % QUEUE_WORKERS)
        state = WorkerState(SERVICE, "patan", (), FREE, Resources(), True)
        known = tuple(dispatcher.workers.get(agent.incarnation).outstanding)
        dispatcher.on_renewal(agent, Renewal(0, state, known), 0.1)
    return (time.process_time() - began) * US_PER_S


def _time_ends(dispatcher, runs):
    """Return the microseconds that the ends of runs take, each with a new order."""
    began = time.process_time()
    for peer, number in runs:
        ended = RunsEnded(((number, RunEnd.DONE, 400.0),), Resources(6200, 64, 0))
        dispatcher.on_runs_ended(peer, ended, 0.2)
    return (time.process_time() - began) * US_PER_S
