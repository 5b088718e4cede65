"""The dispatchers that an agent knows, and those whose permissions it keeps.

With few dispatchers an agent asks all of them. With many, the messages would grow with
agents times dispatchers, so an agent asks some of them: those that rank first by a hash
of both addresses, which spreads the agents evenly over the dispatchers. A silent one is
asked on, and the next in rank stands in for it.
"""

import hashlib
from dataclasses import dataclass

MS_PER_S = 1000.0
# A dispatcher that has not answered for that long gets a new connection, since an open
# one may have gone silent for good, and another one stands in for it.
SILENCE_S = 0.5
FORGET_S = 60.0


@dataclass(slots=True)
class KnownDispatcher:
    """A dispatcher that an agent knows.

    Attributes
    ----------
    rendezvous_hash : bytes
        The least is asked first.
    last_contact_at, last_request_at : float
        Monotonic seconds of the latest answer and of the latest question.
    unanswered_since : float or None
        When the first question was asked that has no answer yet.
    connected_at : float
        When it last got a new connection.
    """

    rendezvous_hash: bytes
    last_contact_at: float = 0.0
    last_request_at: float = float("-inf")
    unanswered_since: float | None = None
    connected_at: float = 0.0

    def unanswered_s(self, now):
        """Return for how long questions have had no answer."""
        return 0.0 if self.unanswered_since is None else now - self.unanswered_since


class Dispatchers:
    """The dispatchers that one agent knows.

    Parameters
    ----------
    own_address : str
        The agent's address.
    settings : RestartSettings
        How many are kept, and how often each is asked.
    """

    def __init__(self, own_address, settings):
        self._own_address = own_address
        self._settings = settings
        self._known = {}
        self._ranked = []

    @property
    def last_renewal_at(self):
        """Return the monotonic seconds of the latest answer, or 0."""
        return max((each.last_contact_at for each in self._known.values()), default=0.0)

    def add_addresses(self, addresses):
        """Take addresses at which dispatchers may be."""
        new = [each for each in addresses if each not in self._known]
        for address in new:
            pair = f"{self._own_address} {address}".encode()
            self._known[address] = KnownDispatcher(
                hashlib.blake2b(pair, digest_size=8).digest()
            )
        if new:
            self._rank()

    def on_renewed(self, address, now):
        """Take note of an answer."""
        self.add_addresses((address,))
        known = self._known[address]
        known.last_contact_at = now
        known.unanswered_since = None

    def selected(self, now):
        """Return the addresses of those to be asked, and of those that stand in."""
        selected = []
        answering = 0
        for address in self._ranked:
            if answering >= self._settings.dispatchers:
                break
            selected.append(address)
            answering += self._known[address].unanswered_s(now) <= SILENCE_S
        return selected

    def due_for_renewal(self, busy, now):
        """Return the addresses that are to be asked now.

        Parameters
        ----------
        busy : set of str
            Dispatchers that have runs here; they are asked whatever their rank.
        """
        self._forget(now)
        selected = self.selected(now)
        self.add_addresses(busy)
        return [
            address
            for address in dict.fromkeys([*selected, *busy])
            if self._is_due(self._known[address], address in busy, now)
        ]

    def record_request(self, address, now):
        """Take note of a question; return whether it needs a new connection."""
        self.add_addresses((address,))
        known = self._known[address]
        known.last_request_at = now
        if known.unanswered_since is None:
            known.unanswered_since = known.connected_at = now
        if now - max(known.unanswered_since, known.connected_at) <= SILENCE_S:
            return False
        known.connected_at = now
        return True

    def _is_due(self, known, busy, now):
        """Return whether a dispatcher is to be asked again."""
        settings = self._settings
        period_ms = settings.renew_ms if busy else settings.idle_renew_ms
        return now - known.last_request_at >= period_ms / MS_PER_S

    def _forget(self, now):
        """Forget dispatchers that have been silent for long, if some answer."""
        if now - self.last_renewal_at > SILENCE_S:
            return
        gone = [
            address
            for address, each in self._known.items()
            if each.unanswered_s(now) > FORGET_S
        ]
        for address in gone:
            del self._known[address]
        if gone:
            self._rank()

    def _rank(self):
        """Order the known addresses by rank."""
        self._ranked = sorted(
            self._known, key=lambda each: self._known[each].rendezvous_hash
        )
