"""Dispatchers' permissions to run tasks, and the resources offered to them."""

from dataclasses import dataclass, field

from ragwortlug.envelope import Peer, Send
from ragwortlug.lease_messages import Offer
from ragwortlug.restartable_model import Rank, Resources

MS_PER_S = 1000.0
MAX_INITIAL_PERMISSION_S = 1.0


@dataclass(slots=True)
class Permission:
    """A dispatcher's permission for this agent to run its tasks.

    Attributes
    ----------
    peer : Peer
        The dispatcher.
    expires_at : float
        Monotonic seconds at which the permission expires.
    rank : Rank or None
        Rank of the dispatcher's best waiting task, or None if no task is known.
    resources : Resources
        Resources that this task needs.
    """

    peer: Peer
    expires_at: float
    rank: Rank | None = None
    resources: Resources = field(default_factory=Resources)


@dataclass(frozen=True, slots=True)
class ReservedOffer:
    """An offer that reserves the free resources until it is answered or expires.

    Attributes
    ----------
    number : int
        Identifies the offer; at least 1.
    incarnation : str
        The dispatcher that may use the resources.
    expires_at : float
        Monotonic seconds.
    """

    number: int
    incarnation: str
    expires_at: float


class Permissions:
    """The permission of each dispatcher, and its best waiting task.

    The duration of a permission counts from the time at which this agent asked for it.

    Parameters
    ----------
    settings : RestartSettings
        Durations of a permission and of an offer, among others.
    """

    def __init__(self, settings):
        self._permission_s = settings.permission_ms / MS_PER_S
        self._forget_s = settings.orphan_ms / MS_PER_S
        self._stop_ahead_s = settings.stop_ahead_ms / MS_PER_S
        self._offer_s = settings.offer_ms / MS_PER_S
        self._permissions = {}
        self._offer = None
        self._next_offer = 0

    @property
    def offering(self):
        """Return whether an offer reserves the free resources."""
        return self._offer is not None

    @property
    def peers(self):
        """Return the dispatchers that have a permission, a list."""
        return [permission.peer for permission in self._permissions.values()]

    @property
    def peers_without_demand(self):
        """Return the dispatchers that have a permission and no known waiting task."""
        return [
            permission.peer
            for permission in self._permissions.values()
            if permission.rank is None
        ]

    def reserved_from(self, sender):
        """Return whether the free resources are reserved for another dispatcher.

        A dispatcher that answers an expired offer may use resources that are on offer
        to it again. Otherwise one that always answers late would never start a run.
        """
        offer = self._offer
        return offer is not None and offer.incarnation != sender.incarnation

    def on_renewed(self, sender, requested_at_ms):
        """Renew the permission that was requested at `requested_at_ms`."""
        expires_at = requested_at_ms / MS_PER_S + self._permission_s
        permission = self._permissions.get(sender.incarnation)
        if permission is None:
            self._permissions[sender.incarnation] = Permission(sender, expires_at)
        else:
            permission.expires_at = max(permission.expires_at, expires_at)

    def expires_at(self, incarnation):
        """Return when a dispatcher's permission expires, or None without one."""
        permission = self._permissions.get(incarnation)
        return None if permission is None else permission.expires_at

    def earliest_expiry(self, active_dispatchers, limit, now):
        """Return the earliest expiry of the permissions that a lease must not outlive.

        Parameters
        ----------
        active_dispatchers : set of str
            Dispatchers that have runs here.
        limit : float
            Upper bound of the returned time.
        """
        expires_at = limit
        for incarnation, permission in self._permissions.items():
            if (
                incarnation in active_dispatchers
                or permission.expires_at - now > self._stop_ahead_s
            ):
                expires_at = min(expires_at, permission.expires_at)
        return expires_at

    def allows(self, sender, requested_at_ms, lease_expires_at, now):
        """Return whether assignments under the request of `requested_at_ms` may start.

        Parameters
        ----------
        lease_expires_at : float
            When the lease of the worker's runs expires. An assignment whose permission
            expires earlier must wait for a renewal.
        """
        assignment_expires_at = requested_at_ms / MS_PER_S + self._permission_s
        permission = self._permissions.get(sender.incarnation)
        if permission is None:
            expires_at = min(assignment_expires_at, now + MAX_INITIAL_PERMISSION_S)
            permission = Permission(sender, expires_at)
            self._permissions[sender.incarnation] = permission
        fresh = (
            min(permission.expires_at, assignment_expires_at) - now > self._stop_ahead_s
        )
        return fresh and permission.expires_at >= lease_expires_at

    def is_expiring(self, incarnation, now):
        """Return whether the runs of a dispatcher must be stopped now."""
        expires_at = self.expires_at(incarnation)
        return expires_at is None or expires_at - now < self._stop_ahead_s

    def expire(self, now):
        """Remove expired permissions and an expired offer."""
        for incarnation, permission in tuple(self._permissions.items()):
            if permission.expires_at < now:
                permission.rank = None
            if permission.expires_at + self._forget_s < now:
                del self._permissions[incarnation]
        if self._offer is not None and now > self._offer.expires_at:
            self._offer = None

    def set_waiting_task(self, sender, rank, resources):
        """Store the rank and resources of a dispatcher's best waiting task."""
        permission = self._permissions.get(sender.incarnation)
        if permission is not None:
            permission.rank = rank
            permission.resources = resources

    def offer_answered(self, number):
        """Remove the offer if it is the one that was answered."""
        if self._offer is not None and number == self._offer.number:
            self._offer = None

    def withdraw(self):
        """Withdraw the offer, if there is one."""
        self._offer = None

    def offer(self, free_resources, now):
        """Offer the free resources to the dispatcher of the best task that fits.

        Returns
        -------
        list of Send
            The offer; empty if an offer is unanswered or no task fits.
        """
        if self._offer is not None:
            return []
        candidates = [
            permission
            for permission in self._permissions.values()
            if permission.rank is not None
            and permission.expires_at > now
            and free_resources.can_fit(permission.resources)
        ]
        if not candidates:
            return []
        best = min(candidates, key=lambda permission: permission.rank)
        best.rank = None
        self._next_offer += 1
        self._offer = ReservedOffer(
            self._next_offer, best.peer.incarnation, now + self._offer_s
        )
        return [Send(best.peer, Offer(self._next_offer, free_resources))]
