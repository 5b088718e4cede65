"""Exchanges live addresses and the operators' orders between entries.

An entry that can't read the platform's store gets the operators' orders from other
entries. No agreement is needed: orders carry the store's revision, and the newest
are in force. What is sent to an entry that can't be reached directly may also go by
way of agents; then it brings orders, but is no contact with that entry.
"""

from reactivex.subject import Subject

from ragwortlug.envelope import Peer, Send
from ragwortlug.events import EventName
from ragwortlug.lease_messages import EntryState
from ragwortlug.lease_settings import is_address
from ragwortlug.restartable_model import Orders
from ragwortlug.telemetry.logs import OnceLogger, logger

BROADCAST_INTERVAL_S = 0.5
LIVE_TIMEOUT_S = 3.0
FORGET_TIMEOUT_S = 60.0
MS_PER_S = 1000.0

once_log = OnceLogger(logger("gossip"))


class Gossip:
    """Tracks the live entries and the newest orders.

    Parameters
    ----------
    seeds : sequence of str
        Initial addresses of entries.
    peers, timer, metrics, journal
        The services of those names.
    """

    def __init__(self, seeds, peers, timer, metrics, journal):
        self._own_address = peers.own_peer.address
        self._seeds = {address for address in seeds if address != self._own_address}
        self._last_contact_at = {}
        self._reported_revisions = {}
        self._peers = peers
        self._timer = timer
        self._metrics = metrics
        self._changes = Subject()
        self._sent_states = Subject()
        self._journal = journal
        self._silent = set()
        self.orders = Orders()

    @property
    def changes(self):
        """An observable that emits the orders after each change."""
        return self._changes

    @property
    def sent_states(self):
        """An observable that emits the `Send` of each state sent to an entry."""
        return self._sent_states

    @property
    def entries(self):
        """The sorted addresses of this entry and of all live ones, a tuple.

        An entry is live if it sent a message in the last `LIVE_TIMEOUT_S` seconds.
        """
        now = self._timer.monotonic()
        live = (
            address
            for address, last_contact_at in self._last_contact_at.items()
            if now - last_contact_at < LIVE_TIMEOUT_S
        )
        return tuple(sorted({self._own_address, *live}))

    @property
    def addresses(self):
        """All addresses at which other entries may listen, a sorted tuple."""
        return tuple(sorted({*self._seeds, *self._last_contact_at}))

    async def start(self):
        """Start sending and receiving the state."""
        self._peers.register_handler(EntryState, self._on_entry_state)
        self._metrics.gauge("entries_heard", lambda: len(self.entries))
        self._metrics.gauge("orders_revision", lambda: self.orders.revision)
        self._timer.every(BROADCAST_INTERVAL_S, self.broadcast)
        self.broadcast()

    def add_addresses(self, addresses):
        """Add addresses at which other entries may listen."""
        for address in addresses:
            if not is_address(address):
                once_log.warning(
                    address, "Skipped an entry at an invalid address: {!r}.", address
                )
            elif address != self._own_address:
                self._seeds.add(address)

    def apply_orders(self, orders):
        """Apply orders if they are newer; return whether they were applied.

        Newer orders with an older configuration, or none, are refused.
        """
        if orders.revision <= self.orders.revision:
            return False
        table = self.orders.table
        if table is not None and (
            orders.table is None or orders.table.version < table.version
        ):
            fields = {"revision": orders.revision, "version": table.version}
            self._journal.write_event(EventName.ORDERS_REFUSED, **fields)
            return False
        self.orders = orders
        self._changes.on_next(orders)
        self.broadcast()
        return True

    def broadcast(self):
        """Send every entry this one's state, with the orders if it has older ones."""
        now = self._timer.monotonic()
        for address, last_contact_at in tuple(self._last_contact_at.items()):
            if now - last_contact_at > LIVE_TIMEOUT_S and address not in self._silent:
                self._silent.add(address)
                silent_ms = round((now - last_contact_at) * MS_PER_S)
                fields = {"entry": address, "silent_ms": silent_ms}
                self._journal.write_event(EventName.ENTRY_SILENT, **fields)
            if now - last_contact_at > FORGET_TIMEOUT_S:
                del self._last_contact_at[address]
                self._silent.discard(address)
        for address in self.addresses:
            outdated = self._reported_revisions.get(address, 0) < self.orders.revision
            orders = self.orders if outdated else None
            state = EntryState(self.entries, self.orders.revision, orders)
            self._peers.watch(address)
            self._peers.send(Peer(address), state)
            self._sent_states.on_next(Send(Peer(address), state))

    def _on_entry_state(self, sender, message):
        """Record contact with another entry, and apply its addresses and orders."""
        if (
            sender.address not in self._last_contact_at
            or sender.address in self._silent
        ):
            self._silent.discard(sender.address)
            self._journal.write_event(EventName.ENTRY_HEARD, entry=sender.address)
        self._last_contact_at[sender.address] = self._timer.monotonic()
        self.add_addresses(message.entries)
        self._apply_state(sender, message)

    def on_relayed_state(self, origin, message):
        """Apply the orders of an entry whose state came by way of an agent."""
        if self._apply_state(origin, message):
            fields = {"entry": origin.address, "revision": message.orders.revision}
            self._journal.write_event(EventName.ORDERS_RELAYED, **fields)

    def _apply_state(self, sender, message):
        """Record an entry's revision; return whether its orders were newer."""
        self._reported_revisions[sender.address] = message.revision
        return message.orders is not None and self.apply_orders(message.orders)
