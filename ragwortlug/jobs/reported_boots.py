"""Boots that report beside the worker's current one.

A report may arrive long after its boot has ended, and the times at which boots started
can't be compared, as a machine's clock is set forward and back. So a report proves
nothing about the current boot: the boot that it names is asked.
"""

from dataclasses import dataclass

from ragwortlug.jobs.worker_calls import AskBoot, SnapshotRequest, WorkerReport

MAX_KEPT = 4
ASK_INTERVAL_S = 0.04
KEPT_S = 2.0


@dataclass(slots=True)
class _ReportedBoot:
    """The latest report of a boot, when it arrived and when to ask the boot next."""

    report: WorkerReport
    reported_at: float
    next_ask_at: float


class ReportedBoots:
    """The latest reports of boots that have not answered yet, a few seconds old.

    Attributes
    ----------
    current_known_at : float or None
        Since when the current boot is known to run, or to have ended, in monotonic
        seconds; None before the first report.
    """

    def __init__(self):
        self.current_known_at = None
        self._boots = {}

    def get(self, boot_id):
        """Return the latest report of a boot, or None."""
        boot = self._boots.get(boot_id)
        return None if boot is None else boot.report

    def add(self, report, now):
        """Keep a report, unless a later one of the same boot has arrived."""
        boot = self._boots.pop(report.boot_id, None)
        next_ask_at = now
        if boot is not None:
            next_ask_at = boot.next_ask_at
            report = max(boot.report, report, key=lambda each: each.sequence)
        self._boots[report.boot_id] = _ReportedBoot(report, now, next_ask_at)
        while len(self._boots) > MAX_KEPT:
            del self._boots[next(iter(self._boots))]

    def begin(self, now):
        """Ask all boots again, as the current one has just begun or ended."""
        self.current_known_at = now
        for boot in self._boots.values():
            boot.next_ask_at = now

    def remove(self, boot_id):
        """Forget a boot, which may report again."""
        self._boots.pop(boot_id, None)

    def ask(self, fencing_token, now):
        """Return the effects that ask the boots that are due; no lease is given."""
        for boot_id, boot in tuple(self._boots.items()):
            if now - boot.reported_at > KEPT_S:
                del self._boots[boot_id]
        effects = []
        for boot_id, boot in self._boots.items():
            if now >= boot.next_ask_at:
                boot.next_ask_at = now + ASK_INTERVAL_S
                request = SnapshotRequest(boot_id, now, fencing_token, 0, 0, None)
                effects.append(AskBoot(boot.report, request))
        return effects

    def answering(self, snapshot, request):
        """Return the report of the boot that an answer shows to run now, or None.

        It must answer a request that was made since the current boot is known. Only
        then is it the later one.
        """
        report = self.get(request.boot)
        if report is None:
            return None
        if snapshot.booted_at_ms not in (0, report.booted_at_ms):
            self.remove(request.boot)
            return None
        return report if request.requested_at >= self.current_known_at else None
