"""How the runs of an agent end, and the messages that report it to dispatchers."""

import msgspec

from ragwortlug.envelope import Send
from ragwortlug.events import Event, EventName
from ragwortlug.jobs.crash_log import CrashLog
from ragwortlug.jobs.ended_runs import PRESUMPTIONS, EndedRuns
from ragwortlug.jobs.local_runs import run_presumed_lost, worker_crashed
from ragwortlug.lease_messages import RunsEnded, WorkerCrashed
from ragwortlug.restartable_model import RunEnd

MS_PER_S = 1000.0


class RunEnds:
    """Ends runs of one agent's worker, and remembers how they ended.

    Parameters
    ----------
    runs : dict
        The runs that the worker has or may have, by the incarnation of the dispatcher
        and the number of the assignment. Ended runs are removed.
    free_resources : callable
        Returns the free resources to report.
    slow_run_counts : SlowRunCounts
        Counts each run that ended.
    lease : WorkerLease
        Tells when the worker answered last.
    """

    def __init__(self, runs, free_resources, slow_run_counts, lease):
        self._runs = runs
        self._free_resources = free_resources
        self._slow_run_counts = slow_run_counts
        self._lease = lease
        self._ended_runs = EndedRuns()
        self._crash_log = CrashLog()
        # The report of a crash that is suspected but not proved.
        self._suspected_crash = None

    def __contains__(self, key):
        return key in self._ended_runs

    def refuse(self, key, end):
        """Record the refusal of an assignment; a copy of it is refused too."""
        self._ended_runs.refuse(key, end)

    def end_or_refuse(self, key):
        """Return an assignment's end and run time; refuse one that has not arrived."""
        return self._ended_runs.end_or_refuse(key)

    def on_listed_running(self, row, token, requested_at, now):
        """Return the event of a listed run that the agent does not have.

        Parameters
        ----------
        token : int
            The fencing token of the command that stops it.
        requested_at : float
            When the list was requested, in monotonic seconds.
        """
        reported = self._ended_runs.on_listed_running(
            row.task, row.attempt, requested_at
        )
        fields = {"reported": None}
        if reported is not None:
            fields = reported.describe(now)
            fields["listed_after_report"] = requested_at >= reported.reported_at
        fields |= {**_row_fields(row), "token": token}
        return Event(EventName.RUN_FOREIGN, row.task[0], fields)

    def on_listed_ended(self, row, now):
        """Return the event of an end that was reported before it was listed, a list.

        The list is empty if the row agrees with what was reported.
        """
        reported = self._ended_runs.on_listed_ended(row.task, row.attempt)
        if reported is None:
            return []
        name = EventName.RUN_OUTLIVED_REPORT
        if not reported.is_contradicted:
            if row.end not in (RunEnd.DONE, RunEnd.FAILED):
                return []
            name = EventName.RUN_END_LISTED_LATE
        fields = reported.describe(now) | _row_fields(row) | {"end": row.end.value}
        return [Event(name, row.task[0], fields)]

    def crash_reports(self, now):
        """Return the reports of the crashes that are still of use, a list."""
        return self._crash_log.reports(now)

    def end(self, ends, proof, now):
        """End runs; return a message for each of their dispatchers, and events.

        Parameters
        ----------
        ends : iterable of (tuple, RunEnd)
            The key of each run, and how it ended.
        proof : EndProof
            Why they can no longer run.
        """
        by_dispatcher = {}
        effects = []
        for key, end in ends:
            local_run = self._runs.pop(key)
            run_ms = (now - local_run.started_at) * MS_PER_S
            if end is RunEnd.STOPPED and not local_run.stopped:
                end = RunEnd.LOST
            self._ended_runs.add(key, local_run, end, run_ms, proof, now)
            self._slow_run_counts.on_ended(local_run, end, run_ms, now)
            rows = by_dispatcher.setdefault(local_run.dispatcher, [])
            rows.append((key[1], end, run_ms))
            if proof in PRESUMPTIONS:
                answered_ms_ago = round((now - self._lease.last_answer_at) * MS_PER_S)
                effects.append(
                    run_presumed_lost(local_run, end, proof, answered_ms_ago)
                )
        free_resources = self._free_resources()
        effects += [
            Send(dispatcher, RunsEnded(tuple(rows), free_resources))
            for dispatcher, rows in by_dispatcher.items()
        ]
        return effects

    def end_as_lost(self, keys, proof, now):
        """End runs as lost, since the worker can no longer run them."""
        return self.end([(key, RunEnd.LOST) for key in keys], proof, now)

    def suspect_crash(self, crashed_at, peers):
        """Report a crash that is not proved yet; its runs may go on.

        Dispatchers learn at once which tasks may be at fault. A task that ends well
        after all is cleared there.
        """
        if self._suspected_crash is not None or not self._runs:
            return []
        self._suspected_crash = self._crash_log.add(self._runs.values(), crashed_at)
        return [Send(peer, self._suspected_crash) for peer in peers]

    def withdraw_suspicion(self, peers):
        """Withdraw the report of a suspected crash, as the boot answers again."""
        if self._suspected_crash is None:
            return []
        number = self._suspected_crash.number
        self._crash_log.remove(self._suspected_crash)
        self._suspected_crash = None
        return [Send(peer, WorkerCrashed(number, ())) for peer in peers]

    def end_as_crashed(self, keys, report, crashed_at, peers, proof, now):
        """End runs as lost after their worker has ended without notice.

        Parameters
        ----------
        report : WorkerReport
            The latest report of the boot that ended. A draining worker has announced
            its end, which is no crash.
        peers : iterable of Peer
            The dispatchers that must know of the crash.
        """
        if not keys or report.draining:
            return self.end_as_lost(keys, proof, now)
        runs = [self._runs[key] for key in keys]
        crashed = worker_crashed(report, runs, crashed_at)
        crash = self._suspected_crash or self._crash_log.add(runs, crashed_at)
        self._suspected_crash = None
        effects = [crashed]
        informed = set()
        for effect in self.end_as_lost(keys, proof, now):
            if isinstance(effect, Send):
                informed.add(effect.receiver)
                body = msgspec.structs.replace(effect.body, crash=crash)
                effect = Send(effect.receiver, body)
            effects.append(effect)
        others = [peer for peer in peers if peer not in informed]
        return [*effects, *(Send(peer, crash) for peer in others)]


def _row_fields(row):
    """Return the fields that identify the run in a row of a snapshot."""
    return {"task": f"{row.task[1]}.{row.task[2]}", "attempt": row.attempt}
