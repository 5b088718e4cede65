"""Announces changes to a majority of the entries before they are written."""

import asyncio
from dataclasses import dataclass

from ragwortlug.codes import Code
from ragwortlug.errors import RagwortlugError
from ragwortlug.messages import Announce, Announced, peer_of
from ragwortlug.view.quorum import majority

ANNOUNCE_TIMEOUT_S = 1.0


class Announcer:
    """Sends an entry's announcements and acknowledges those of other entries.

    Parameters
    ----------
    view : View
        The entry's view.
    quorum : QuorumTracker
        Keeps the announced changes.
    peers : Peers
        Sends and receives the messages.
    """

    def __init__(self, view, quorum, peers):
        self._view = view
        self._quorum = quorum
        self._peers = peers
        self._acknowledgements = {}
        self._last_number = 0

    async def start(self):
        """Start receiving announcements."""
        self._peers.register_handler(Announce, self._on_announce)
        self._peers.register_handler(Announced, self._on_announced)

    def rosters(self):
        """Return the accepted roster and all announced ones."""
        pending = self._quorum.announced_changes(self._view.versions)
        announced = [change.roster for change in pending if change.roster is not None]
        return [self._view.roster, *announced]

    async def announce(self, change):
        """Announce a change to a majority of each roster's entries.

        Raises
        ------
        RagwortlugError
            With code ``NO_MAJORITY`` if too few entries acknowledge it in time, or
            too many announced changes are pending.
        """
        if not self._quorum.add_announced(change):
            raise RagwortlugError("too many changes are unsettled", Code.NO_MAJORITY)
        acknowledgements = _Acknowledgements(
            {self._peers.own_peer.incarnation}, asyncio.Event()
        )
        self._last_number += 1
        number = self._last_number
        self._acknowledgements[number] = acknowledgements
        self._send_to_entries(Announce(number, change))
        try:
            async with asyncio.timeout(ANNOUNCE_TIMEOUT_S):
                await self._wait_for_majority(acknowledgements)
        except TimeoutError:
            detail = (
                f"only {len(acknowledgements.acknowledged_by)} entries "
                "took the announcement"
            )
            raise RagwortlugError(detail, Code.NO_MAJORITY) from None
        finally:
            del self._acknowledgements[number]

    def _send_to_entries(self, message):
        """Send a message to every other entry of each roster."""
        voters = {
            peer_of(entry)
            for roster in self.rosters()
            for entry in roster.present_members("entry")
        }
        for peer in voters:
            if peer.incarnation != self._peers.own_peer.incarnation:
                self._peers.send(peer, message)

    async def _wait_for_majority(self, acknowledgements):
        """Wait until a majority has acknowledged the announcement."""
        while not self._has_majority(acknowledgements.acknowledged_by):
            acknowledgements.ack_received.clear()
            await acknowledgements.ack_received.wait()

    def _has_majority(self, acknowledged_by):
        """Return whether `acknowledged_by` has a majority of each roster's entries."""
        for roster in self.rosters():
            voters = {entry.incarnation for entry in roster.present_members("entry")}
            if voters and len(voters & acknowledged_by) < majority(len(voters)):
                return False
        return True

    def _on_announce(self, sender, message):
        """Store an announced change, which restricts this entry, and acknowledge it."""
        if self._quorum.add_announced(message.change):
            self._peers.send(sender, Announced(message.number))

    def _on_announced(self, sender, message):
        """Count an entry that acknowledged an announcement."""
        acknowledgements = self._acknowledgements.get(message.number)
        if acknowledgements is not None:
            acknowledgements.acknowledged_by.add(sender.incarnation)
            acknowledgements.ack_received.set()


@dataclass(frozen=True, slots=True)
class _Acknowledgements:
    """The incarnations that acknowledged an announcement; an event for new ones."""

    acknowledged_by: set
    ack_received: asyncio.Event
