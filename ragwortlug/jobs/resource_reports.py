"""What an agent tells dispatchers of its worker's free resources."""

import msgspec

from ragwortlug.envelope import Send
from ragwortlug.lease_messages import RunsEnded
from ragwortlug.restartable_model import Resources


class ResourceReports:
    """Offers of free resources, and reports that leave out what is on offer.

    Parameters
    ----------
    permissions : Permissions
        Choose the dispatcher that gets an offer.
    free_resources, accepting : callable
        Return the resources that no run uses, and whether new runs can start.
    """

    def __init__(self, permissions, free_resources, accepting):
        self._permissions = permissions
        self._free_resources = free_resources
        self._accepting = accepting
        # Dispatchers whose latest report left out resources that were on offer, as
        # keys, so that their order does not depend on hashes.
        self._uninformed = {}
        # What each dispatcher takes to be free, by address.
        self._believed = {}

    def unreserved(self):
        """Return the free resources that no offer reserves."""
        return Resources() if self._permissions.offering else self._free_resources()

    def offer(self, now):
        """Offer the free resources to the dispatcher with the best waiting task."""
        if not self._accepting():
            return []
        return self._permissions.offer(self._free_resources(), now)

    def offer_then_report(self, effects, now):
        """Offer the free resources, then complete the reports of ended runs.

        A report that says resources are free while they are offered to another
        dispatcher would make its receiver assign runs that must be refused. Its
        receiver gets another one once the offer is answered.
        """
        offers = self.offer(now)
        reports = []
        for effect in effects:
            if isinstance(effect, Send) and isinstance(effect.body, RunsEnded):
                body = msgspec.structs.replace(
                    effect.body, free_resources=self.unreserved()
                )
                effect = Send(effect.receiver, body)
                if self._permissions.offering:
                    self._uninformed[effect.receiver] = None
            reports.append(effect)
        self.record(reports)
        return reports + offers

    def report_remainder(self):
        """Report the free resources to dispatchers whose latest report omitted them."""
        if self._permissions.offering or not self._uninformed:
            return []
        report = RunsEnded((), self.unreserved())
        receivers, self._uninformed = self._uninformed, {}
        reports = [Send(receiver, report) for receiver in receivers]
        self.record(reports)
        return reports

    def on_renewal(self, address):
        """Record that a request for a renewal reports the free resources."""
        self._believed[address] = self.unreserved()

    def record(self, effects):
        """Record what the messages among some effects report as free."""
        for effect in effects:
            if isinstance(effect, Send) and isinstance(effect.body, RunsEnded):
                self._believed[effect.receiver.address] = effect.body.free_resources

    def report_exhausted(self, effects, sender, runs):
        """Report to other dispatchers that an assignment took what they take as free.

        Dispatchers prefer the same workers, and would otherwise assign runs that must
        be refused until their next report. A dispatcher is informed once: from then
        on it takes nothing to be free until a report says so. One with a waiting task
        is left out, since it gets offers.

        Parameters
        ----------
        effects : list
            The effects of the assignment so far.
        runs : sequence of Run
            The assigned runs. A worker without room for the largest is exhausted.
        """
        for run in runs:
            believed = self._believed.get(sender.address, Resources())
            self._believed[sender.address] = believed - run.resources
        self.record(effects)
        if not runs:
            return []
        largest = max((run.resources for run in runs), key=lambda each: each.cpu)
        if self._free_resources().can_fit(largest):
            return []
        report = RunsEnded((), self.unreserved())
        receivers = [
            peer
            for peer in self._permissions.peers_without_demand
            if peer.address != sender.address
            and self._believed.get(peer.address, Resources()).can_fit(largest)
        ]
        if self._permissions.offering:
            self._uninformed |= dict.fromkeys(receivers)
        reports = [Send(receiver, report) for receiver in receivers]
        self.record(reports)
        return reports
