"""Dispatchers' permissions to run tasks, and the room offered to them."""

from dataclasses import dataclass, field

from ragwortlug.envelope import Peer, Send
from ragwortlug.lease_messages import Offer
from ragwortlug.restartable_model import Rank, Resources

MS_PER_S = 1000.0
FIRST_LIMIT_S = 1.0


@dataclass(slots=True)
class Permission:
    """A dispatcher's permission to run tasks for it."""

    peer: Peer
    expires_at: float
    rank: Rank | None = None
    resources: Resources = field(default_factory=Resources)


class Permissions:
    """What each dispatcher permits, and which task of it waits for room.

    A permission counts from the moment at which this agent asked for it.

    Parameters
    ----------
    settings : RestartSettings
        How long a permission holds, and an offer.
    """

    def __init__(self, settings):
        self._permission_s = settings.permission_ms / MS_PER_S
        self._forget_s = settings.orphan_ms / MS_PER_S
        self._ahead_s = settings.stop_ahead_ms / MS_PER_S
        self._offer_s = settings.offer_ms / MS_PER_S
        self._known = {}
        self._offer = None
        self._next_offer = 0

    @property
    def offering(self):
        """Return the number of the offer that keeps the free room, or 0."""
        return 0 if self._offer is None else self._offer[0]

    def on_renewed(self, sender, requested_at_ms):
        """Take a renewal of the permission asked for at that stamp."""
        expires_at = requested_at_ms / MS_PER_S + self._permission_s
        permission = self._known.get(sender.incarnation)
        if permission is None:
            self._known[sender.incarnation] = Permission(sender, expires_at)
        else:
            permission.expires_at = max(permission.expires_at, expires_at)

    def expires_at(self, incarnation):
        """Return when a dispatcher's permission ends, or None without one."""
        permission = self._known.get(incarnation)
        return None if permission is None else permission.expires_at

    def earliest_expiry(self, active_dispatchers, limit, now):
        """Return when the first permission ends that a lease must not outlive.

        Parameters
        ----------
        active_dispatchers : set of str
            Dispatchers that have runs here.
        limit : float
            The latest moment to return.
        """
        expires_at = limit
        for name, permission in self._known.items():
            if (
                name in active_dispatchers
                or permission.expires_at - now > self._ahead_s
            ):
                expires_at = min(expires_at, permission.expires_at)
        return expires_at

    def allows(self, sender, requested_at_ms, lease_expires_at, now):
        """Return whether orders given on that stamp may be carried out now.

        Parameters
        ----------
        lease_expires_at : float
            When the lease of the worker's runs ends; an order whose permission
            ends before must wait for a renewal.
        """
        assignment_expires_at = requested_at_ms / MS_PER_S + self._permission_s
        permission = self._known.get(sender.incarnation)
        if permission is None:
            expires_at = min(assignment_expires_at, now + FIRST_LIMIT_S)
            permission = Permission(sender, expires_at)
            self._known[sender.incarnation] = permission
        fresh = min(permission.expires_at, assignment_expires_at) - now > self._ahead_s
        return fresh and permission.expires_at >= lease_expires_at

    def is_expiring(self, incarnation, now):
        """Return whether the runs of a dispatcher must be stopped now."""
        expires_at = self.expires_at(incarnation)
        return expires_at is None or expires_at - now < self._ahead_s

    def expire(self, now):
        """Forget permissions and an offer that have ended."""
        for name, permission in tuple(self._known.items()):
            if permission.expires_at < now:
                permission.rank = None
            if permission.expires_at + self._forget_s < now:
                del self._known[name]
        if self._offer is not None and now > self._offer[1]:
            self._offer = None

    def set_waiting_task(self, sender, rank, resources):
        """Remember what a dispatcher's best waiting task needs."""
        permission = self._known.get(sender.incarnation)
        if permission is not None:
            permission.rank = rank
            permission.resources = resources

    def offer_answered(self, number):
        """End an offer that its receiver has answered."""
        if self._offer is not None and number == self._offer[0]:
            self._offer = None

    def withdraw(self):
        """End any offer."""
        self._offer = None

    def offer(self, free_resources, now):
        """Return the message that offers the free room, to the best task's home."""
        if self._offer is not None:
            return []
        waiting = [
            each
            for each in self._known.values()
            if each.rank is not None
            and each.expires_at > now
            and free_resources.can_fit(each.resources)
        ]
        if not waiting:
            return []
        best = min(waiting, key=lambda each: each.rank)
        best.rank = None
        self._next_offer += 1
        self._offer = (self._next_offer, now + self._offer_s)
        return [Send(best.peer, Offer(self._next_offer, free_resources))]
