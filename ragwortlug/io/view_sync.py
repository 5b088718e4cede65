"""Polls entries for confirmations and keeps this process's view up to date."""

import random
from dataclasses import replace

from reactivex.subject import Subject

from ragwortlug.envelope import Peer
from ragwortlug.messages import Confirmation, News, Poll, peer_of
from ragwortlug.telemetry.logs import logger
from ragwortlug.view.roster import member_name

MAX_UNANSWERED_POLLS = 100

log = logger("view")


class ViewSync:
    """Keeps a view up to date by polling entries.

    Parameters
    ----------
    view : View
        The view to update.
    member : Member
        This process, as the roster lists it.
    seeds : sequence of str
        Addresses of entries that are polled before a roster is known.
    peers, timer, metrics
        The services of those names.
    settings : ViewSettings
        Intervals and timeouts of the view.
    quorum : QuorumTracker, optional
        Records the answers of other entries.
    """

    def __init__(
        self, view, member, seeds, peers, timer, metrics, settings, quorum=None
    ):
        self._view = view
        self._member = member
        self._incarnation = member.name
        self._session = 0
        self._seeds = [address for address in seeds if address != member.address]
        self._peers = peers
        self._timer = timer
        self._metrics = metrics
        self._settings = settings
        self._quorum = quorum
        self._poll_times = {}
        self._next_number = 0
        self._poll_index = random.randrange(1 << 16)
        self._changes = Subject()
        self._capacity = lambda: None
        self.leaving = False
        self.handed_over = False

    @property
    def view(self):
        """The view that is kept up to date."""
        return self._view

    @property
    def changes(self):
        """An observable that emits the view after each change."""
        return self._changes

    @property
    def member(self):
        """The `Member` by which the roster should list this process."""
        name = member_name(self._incarnation, self._session)
        return replace(self._member, name=name, capacity=self._capacity())

    @property
    def own_members(self):
        """The roster's members that are sessions of this process."""
        members = self._view.roster.members
        return [member for member in members if member.incarnation == self._incarnation]

    def set_capacity_source(self, capacity):
        """Use the function `capacity` to get the local target's capacity."""
        self._capacity = capacity

    async def start(self):
        """Start polling."""
        self._peers.register_handler(Confirmation, self._on_confirmation)
        self._peers.register_handler(News, self._on_news)
        self._timer.every(self._settings.poll_s, self.poll)
        self.poll()

    def poll(self):
        """Send a poll to entries now."""
        for address in self._addresses_to_poll():
            self._next_number += 1
            self._poll_times[self._next_number] = self._timer.monotonic()
            poll = Poll(
                self._next_number,
                self.member,
                self._view.versions,
                self.leaving,
                self.handed_over,
            )
            self._peers.send(Peer(address), poll)
        while len(self._poll_times) > MAX_UNANSWERED_POLLS:
            del self._poll_times[next(iter(self._poll_times))]

    def apply_change(self, change):
        """Apply a `Change` to the view if it is newer."""
        changed = False
        if change.configuration is not None:
            changed |= self._view.update_configuration(change.configuration)
        if change.roster is not None:
            changed |= self._view.update_roster(change.roster, self._timer.unix_ms())
        if changed:
            self._begin_next_session()
            versions = self._view.versions
            log.info(
                "The view now has configuration {} and roster {}.",
                versions.configuration,
                versions.roster,
            )
            self._changes.on_next(self._view)

    def _addresses_to_poll(self):
        """Return the addresses to poll: all for an entry, else the next one."""
        own_address = self._member.address
        entries = self._view.roster.present_members("entry")
        known = sorted(
            entry.address for entry in entries if entry.address != own_address
        )
        if self._member.role == "entry":
            return sorted({*known, *self._seeds})
        if not known or not self._view.is_confirmed(self._timer.monotonic()):
            known = sorted({*known, *self._seeds})
        self._poll_index += 1
        return [known[self._poll_index % len(known)]] if known else []

    def _on_confirmation(self, sender, message):
        """Apply an entry's answer to a poll."""
        asked_at = self._poll_times.pop(message.number, None)
        if asked_at is None:
            self._metrics.count("late_replies", "Confirmation")
            return
        change = message.change
        if change is not None:
            self.apply_change(change)
        if self._quorum is not None:
            self._quorum.on_poll_answer(sender.incarnation, asked_at)
            for announced_change in message.announced:
                self._quorum.add_announced(announced_change)
        if message.age_s is not None:
            self._view.set_announced_changes(
                message.announced if message.by_quorum else ()
            )
            self._view.confirm(message.versions, asked_at, message.age_s)
        elapsed = self._timer.monotonic() - asked_at
        self._metrics.time("poll", elapsed)

    def _on_news(self, _sender, message):
        """Apply a change that was just committed."""
        self.apply_change(message.change)

    def _begin_next_session(self):
        """Begin a new session if the roster has ended the current one."""
        name = member_name(self._incarnation, self._session)
        member = self._view.roster.find_member(name)
        if member is not None and not member.is_present and not self.leaving:
            self._session += 1


def possibly_live_peers(view, own_peer):
    """Return the peers of the roster that may be running, except this one."""
    reachable = {
        peer_of(member)
        for member in view.roster.members
        if member.is_present or not (member.lost or member.handed_over)
    }
    return [peer for peer in reachable if peer.incarnation != own_peer.incarnation]
