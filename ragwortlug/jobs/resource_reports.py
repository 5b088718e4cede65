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
        return reports + offers

    def report_remainder(self):
        """Report the free resources to dispatchers whose latest report omitted them."""
        if self._permissions.offering or not self._uninformed:
            return []
        report = RunsEnded((), self.unreserved())
        receivers, self._uninformed = self._uninformed, {}
        return [Send(receiver, report) for receiver in receivers]
