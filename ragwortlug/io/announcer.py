"""The announcer: tells a majority of the entries of a change before it is written."""

import asyncio
from dataclasses import dataclass

from ragwortlug.codes import Code
from ragwortlug.errors import RagwortlugError
from ragwortlug.messages import Announce, Announced, peer_of
from ragwortlug.view.vouching import majority

TIMEOUT_S = 1.0


class Announcer:
    """One entry's announcements, its own and those of others.

    Parameters
    ----------
    view : View
        The entry's view.
    vouching : Vouching
        Keeps what is announced.
    peers : Peers
        Carries the messages.
    """

    def __init__(self, view, vouching, peers):
        self._view = view
        self._vouching = vouching
        self._peers = peers
        self._announcing = {}
        self._last_number = 0

    async def start(self):
        """Begin to take announcements."""
        self._peers.handle(Announce, self._take_announcement)
        self._peers.handle(Announced, self._announced)

    def rosters(self):
        """Return the accepted roster and those that are announced."""
        pending = self._vouching.pending(self._view.versions)
        announced = [each.roster for each in pending if each.roster is not None]
        return [self._view.roster, *announced]

    async def announce(self, change):
        """Announce a change to a majority of each roster's entries.

        Raises
        ------
        RagwortlugError
            With code ``NO_MAJORITY`` if too few take it in time.
        """
        if not self._vouching.announce(change):
            raise RagwortlugError("too many changes are unsettled", Code.NO_MAJORITY)
        votes = _Votes({self._peers.own.incarnation}, asyncio.Event())
        self._last_number += 1
        number = self._last_number
        self._announcing[number] = votes
        self._tell_others(Announce(number, change))
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await self._wait_for_majority(votes)
        except TimeoutError:
            detail = f"only {len(votes.taken)} entries took the announcement"
            raise RagwortlugError(detail, Code.NO_MAJORITY) from None
        finally:
            del self._announcing[number]

    def _tell_others(self, message):
        """Send an announcement to every other entry of each roster."""
        voters = {
            peer_of(each)
            for roster in self.rosters()
            for each in roster.present("entry")
        }
        for peer in voters:
            if peer.incarnation != self._peers.own.incarnation:
                self._peers.send(peer, message)

    async def _wait_for_majority(self, votes):
        """Wait until a majority has taken the announcement."""
        while not self._has_majority(votes.taken):
            votes.more.clear()
            await votes.more.wait()

    def _has_majority(self, taken):
        """Return whether a majority of each roster's entries is among `taken`."""
        for roster in self.rosters():
            voters = {each.incarnation for each in roster.present("entry")}
            if voters and len(voters & taken) < majority(len(voters)):
                return False
        return True

    def _take_announcement(self, sender, message):
        """Let an announced change restrict this entry, and say so."""
        if self._vouching.announce(message.change):
            self._peers.send(sender, Announced(message.number))

    def _announced(self, sender, message):
        """Count an entry that took an announcement."""
        votes = self._announcing.get(message.number)
        if votes is not None:
            votes.taken.add(sender.incarnation)
            votes.more.set()


@dataclass(frozen=True, slots=True)
class _Votes:
    """The entries that took an announcement, and the signal for one more."""

    taken: set
    more: asyncio.Event
