"""The dispatchers that an agent knows, and those whose permissions it renews.

With few dispatchers an agent sends renewal requests to all of them. With many, the
number of messages would grow with agents times dispatchers, so an agent selects some of
them by rendezvous hashing: those that rank first by a hash of both addresses. This
spreads the agents evenly over the dispatchers. A dispatcher that doesn't answer still
gets requests, and the next in rank is selected in addition.
"""

import hashlib
from dataclasses import dataclass

MS_PER_S = 1000.0
# A dispatcher that has not answered for this time gets a new connection, since an open
# one may never answer again, and the next dispatcher in rank is selected in addition.
ANSWER_TIMEOUT_S = 0.5
REMOVAL_TIMEOUT_S = 60.0


@dataclass(slots=True)
class KnownDispatcher:
    """A dispatcher that an agent knows.

    Attributes
    ----------
    rendezvous_hash : bytes
        Hash of the agent's and the dispatcher's address; the lowest is selected first.
    last_contact_at, last_request_at : float
        Monotonic seconds of the latest answer and of the latest request.
    unanswered_since : float or None
        When the first request without an answer was sent.
    connected_at : float
        When a new connection was last requested; at least `unanswered_since`.
    round_trip_s : float
        Seconds from the latest answered request to its answer; 0 if unknown.
    answering_since : float
        When the first answer after a silence came. Requests sent before it may have
        waited for a connection, so their duration says nothing.
    """

    rendezvous_hash: bytes
    last_contact_at: float = 0.0
    last_request_at: float = float("-inf")
    unanswered_since: float | None = None
    connected_at: float = 0.0
    round_trip_s: float = 0.0
    answering_since: float = 0.0

    def unanswered_s(self, now):
        """Return for how many seconds requests have had no answer."""
        return 0.0 if self.unanswered_since is None else now - self.unanswered_since


class Dispatchers:
    """The dispatchers that one agent knows.

    Parameters
    ----------
    own_address : str
        The agent's address.
    settings : RestartSettings
        How many dispatchers are selected, and how often each gets a request.
    """

    def __init__(self, own_address, settings):
        self._own_address = own_address
        self._settings = settings
        self._known = {}
        self._ranked = []

    @property
    def last_renewal_at(self):
        """Return the monotonic seconds of the latest answer, or 0."""
        return max(
            (dispatcher.last_contact_at for dispatcher in self._known.values()),
            default=0.0,
        )

    def add_addresses(self, addresses):
        """Add addresses at which dispatchers may listen."""
        new = [address for address in addresses if address not in self._known]
        for address in new:
            pair = f"{self._own_address} {address}".encode()
            self._known[address] = KnownDispatcher(
                hashlib.blake2b(pair, digest_size=8).digest()
            )
        if new:
            self._sort_by_rank()

    def round_trip_ms(self, address):
        """Return the whole ms that a dispatcher's latest answer took; 0 if unknown."""
        dispatcher = self._known.get(address)
        return 0 if dispatcher is None else int(dispatcher.round_trip_s * MS_PER_S)

    def on_renewed(self, address, requested_at_ms, now):
        """Record a dispatcher's answer to the request of `requested_at_ms`."""
        self.add_addresses((address,))
        dispatcher = self._known[address]
        if now - dispatcher.last_contact_at > ANSWER_TIMEOUT_S:
            dispatcher.answering_since = now
        requested_at = requested_at_ms / MS_PER_S
        is_known = requested_at >= dispatcher.answering_since
        dispatcher.round_trip_s = now - requested_at if is_known else 0.0
        dispatcher.last_contact_at = now
        dispatcher.unanswered_since = None

    def selected(self, now):
        """Return the addresses of the selected dispatchers and of their substitutes."""
        selected = []
        answering = 0
        for address in self._ranked:
            if answering >= self._settings.dispatchers:
                break
            selected.append(address)
            answering += self._known[address].unanswered_s(now) <= ANSWER_TIMEOUT_S
        return selected

    def due_for_renewal(self, busy, now):
        """Return the addresses that must get a renewal request now.

        Parameters
        ----------
        busy : set of str
            Addresses of dispatchers that have runs here; they get requests regardless
            of their rank.
        """
        self._remove_unanswering(now)
        selected = self.selected(now)
        self.add_addresses(busy)
        return [
            address
            for address in dict.fromkeys([*selected, *busy])
            if self._is_due(self._known[address], address in busy, now)
        ]

    def record_request(self, address, now):
        """Record a renewal request; return whether it needs a new connection."""
        self.add_addresses((address,))
        dispatcher = self._known[address]
        dispatcher.last_request_at = now
        if dispatcher.unanswered_since is None:
            dispatcher.unanswered_since = dispatcher.connected_at = now
        if (
            now - max(dispatcher.unanswered_since, dispatcher.connected_at)
            <= ANSWER_TIMEOUT_S
        ):
            return False
        dispatcher.connected_at = now
        return True

    def _is_due(self, dispatcher, busy, now):
        """Return whether a dispatcher must get a request again."""
        settings = self._settings
        interval_ms = settings.renew_ms if busy else settings.idle_renew_ms
        return now - dispatcher.last_request_at >= interval_ms / MS_PER_S

    def _remove_unanswering(self, now):
        """Remove dispatchers without an answer for long, if others answer."""
        if now - self.last_renewal_at > ANSWER_TIMEOUT_S:
            return
        removed = [
            address
            for address, dispatcher in self._known.items()
            if dispatcher.unanswered_s(now) > REMOVAL_TIMEOUT_S
        ]
        for address in removed:
            del self._known[address]
        if removed:
            self._sort_by_rank()

    def _sort_by_rank(self):
        """Sort the known addresses by rank."""
        self._ranked = sorted(
            self._known, key=lambda address: self._known[address].rendezvous_hash
        )
