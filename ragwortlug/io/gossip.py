"""Word between entries: who lives, and what the operators have ordered.

An entry that the platform's store turns away learns the operators' orders from the
others. Nothing is agreed on here: the orders carry the store's revision, and the
newest holds.
"""

from reactivex.subject import Subject

from ragwortlug.envelope import Peer
from ragwortlug.events import EventName
from ragwortlug.lease_messages import EntryState
from ragwortlug.restartable_model import Orders

TELL_EVERY_S = 0.5
ALIVE_S = 3.0
FORGET_S = 60.0
MS_PER_S = 1000.0


class Gossip:
    """Keeps the entries that live and the newest orders.

    Parameters
    ----------
    seeds : sequence of str
        Addresses of entries to begin with.
    peers, timer, metrics, journal
        The services of those names.
    """

    def __init__(self, seeds, peers, timer, metrics, journal):
        self._own_address = peers.own_peer.address
        self._seeds = {each for each in seeds if each != self._own_address}
        self._last_contact_at = {}
        self._revisions = {}
        self._peers = peers
        self._timer = timer
        self._metrics = metrics
        self._changes = Subject()
        self._journal = journal
        self._silent = set()
        self.orders = Orders()

    @property
    def changes(self):
        """Return the stream of orders, one event for each change."""
        return self._changes

    @property
    def entries(self):
        """Return the addresses of this entry and of those heard lately."""
        now = self._timer.monotonic()
        heard = (
            each for each, at in self._last_contact_at.items() if now - at < ALIVE_S
        )
        return tuple(sorted({self._own_address, *heard}))

    async def start(self):
        """Begin to tell and to listen."""
        self._peers.register_handler(EntryState, self._on_entry_state)
        self._metrics.gauge("entries_heard", lambda: len(self.entries))
        self._metrics.gauge("orders_revision", lambda: self.orders.revision)
        self._timer.every(TELL_EVERY_S, self.broadcast)
        self.broadcast()

    def add_addresses(self, addresses):
        """Take addresses at which other entries may be."""
        self._seeds |= {each for each in addresses if each != self._own_address}

    def apply_orders(self, orders):
        """Take orders if they are newer; return whether they were."""
        if orders.revision <= self.orders.revision:
            return False
        known = self.orders.table
        if known is not None and (
            orders.table is None or orders.table.version < known.version
        ):
            fields = {"revision": orders.revision, "version": known.version}
            self._journal.write_event(EventName.ORDERS_REFUSED, **fields)
            return False
        self.orders = orders
        self._changes.on_next(orders)
        self.broadcast()
        return True

    def broadcast(self):
        """Tell every entry of this one, and of the orders if it lacks them."""
        now = self._timer.monotonic()
        for address, at in tuple(self._last_contact_at.items()):
            if now - at > ALIVE_S and address not in self._silent:
                self._silent.add(address)
                silent_ms = round((now - at) * MS_PER_S)
                fields = {"entry": address, "silent_ms": silent_ms}
                self._journal.write_event(EventName.ENTRY_SILENT, **fields)
            if now - at > FORGET_S:
                del self._last_contact_at[address]
                self._silent.discard(address)
        for address in {*self._seeds, *self._last_contact_at}:
            lacking = self._revisions.get(address, 0) < self.orders.revision
            orders = self.orders if lacking else None
            state = EntryState(self.entries, self.orders.revision, orders)
            self._peers.send(Peer(address), state)

    def _on_entry_state(self, sender, message):
        """Take another entry's word."""
        if (
            sender.address not in self._last_contact_at
            or sender.address in self._silent
        ):
            self._silent.discard(sender.address)
            self._journal.write_event(EventName.ENTRY_HEARD, entry=sender.address)
        self._last_contact_at[sender.address] = self._timer.monotonic()
        self._revisions[sender.address] = message.revision
        self.add_addresses(message.entries)
        if message.orders is not None:
            self.apply_orders(message.orders)
