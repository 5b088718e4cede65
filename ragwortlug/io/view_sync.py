"""The keeper: asks entries for confirmations and keeps this process's view."""

import random
from dataclasses import replace

from reactivex.subject import Subject

from ragwortlug.envelope import Peer
from ragwortlug.messages import Confirmation, News, Poll, peer_of
from ragwortlug.telemetry.logs import logger
from ragwortlug.view.roster import member_name

UNANSWERED_POLLS = 100

log = logger("view")


class ViewSync:
    """Keeps a view fresh by polling.

    Parameters
    ----------
    view : View
        The view to keep.
    member : Member
        This process, as it is to stand in the roster.
    seeds : sequence of str
        Addresses of entries to begin with.
    peers, timer, metrics
        The services of those names.
    settings : ViewSettings
        Polling time and the like.
    quorum : QuorumTracker, optional
        Is told of other entries' answers.
    """

    def __init__(
        self, view, member, seeds, peers, timer, metrics, settings, quorum=None
    ):
        self._view = view
        self._member = member
        self._incarnation = member.name
        self._session = 0
        self._seeds = [each for each in seeds if each != member.address]
        self._peers = peers
        self._timer = timer
        self._metrics = metrics
        self._settings = settings
        self._quorum = quorum
        self._asked = {}
        self._next_number = 0
        self._turn = random.randrange(1 << 16)
        self._changes = Subject()
        self._capacity = lambda: None
        self.leaving = False
        self.handed_over = False

    @property
    def view(self):
        """Return the view."""
        return self._view

    @property
    def changes(self):
        """Return the stream of views, one event for each change."""
        return self._changes

    @property
    def member(self):
        """Return this process as it is to stand in the roster."""
        name = member_name(self._incarnation, self._session)
        return replace(self._member, name=name, capacity=self._capacity())

    @property
    def own_members(self):
        """Return this process's stays that the roster knows."""
        members = self._view.roster.members
        return [each for each in members if each.incarnation == self._incarnation]

    def set_capacity_source(self, capacity):
        """Ask the function `capacity` what the target here offers."""
        self._capacity = capacity

    async def start(self):
        """Begin to poll."""
        self._peers.register_handler(Confirmation, self._on_confirmation)
        self._peers.register_handler(News, self._on_news)
        self._timer.every(self._settings.poll_s, self.poll)
        self.poll()

    def poll(self):
        """Ask entries for a confirmation now."""
        for address in self._whom_to_ask():
            self._next_number += 1
            self._asked[self._next_number] = self._timer.monotonic()
            poll = Poll(
                self._next_number,
                self.member,
                self._view.versions,
                self.leaving,
                self.handed_over,
            )
            self._peers.send(Peer(address), poll)
        while len(self._asked) > UNANSWERED_POLLS:
            del self._asked[next(iter(self._asked))]

    def apply_change(self, change):
        """Take a change of the view from whoever brings it."""
        news = False
        if change.configuration is not None:
            news |= self._view.update_configuration(change.configuration)
        if change.roster is not None:
            news |= self._view.update_roster(change.roster, self._timer.unix_ms())
        if news:
            self._begin_next_session()
            versions = self._view.versions
            log.info(
                "Configuration {} and roster {} are known.",
                versions.configuration,
                versions.roster,
            )
            self._changes.on_next(self._view)

    def _whom_to_ask(self):
        """Return the addresses to poll: all for an entry, else one in turn."""
        own_address = self._member.address
        entries = self._view.roster.present_members("entry")
        known = sorted(each.address for each in entries if each.address != own_address)
        if self._member.role == "entry":
            return sorted({*known, *self._seeds})
        if not known or not self._view.is_confirmed(self._timer.monotonic()):
            known = sorted({*known, *self._seeds})
        self._turn += 1
        return [known[self._turn % len(known)]] if known else []

    def _on_confirmation(self, sender, message):
        """Take an entry's answer to a poll."""
        asked_at = self._asked.pop(message.number, None)
        if asked_at is None:
            self._metrics.count("late_replies", "Confirmation")
            return
        change = message.change
        if change is not None:
            self.apply_change(change)
        if self._quorum is not None:
            self._quorum.on_poll_answer(sender.incarnation, asked_at)
            for each in message.announced:
                self._quorum.add_announced(each)
        if message.age_s is not None:
            self._view.set_announced_changes(
                message.announced if message.by_quorum else ()
            )
            self._view.confirm(message.versions, asked_at, message.age_s)
        elapsed = self._timer.monotonic() - asked_at
        self._metrics.time("poll", elapsed)

    def _on_news(self, _sender, message):
        """Take word of a change that was just committed."""
        self.apply_change(message.change)

    def _begin_next_session(self):
        """Begin a new stay if the roster has ended the present one."""
        name = member_name(self._incarnation, self._session)
        known = self._view.roster.find_member(name)
        if known is not None and not known.is_present and not self.leaving:
            self._session += 1


def possibly_live_peers(view, own_peer):
    """Return all processes of the roster that may live, but for this one."""
    reachable = {
        peer_of(each)
        for each in view.roster.members
        if each.is_present or not (each.lost or each.handed_over)
    }
    return [each for each in reachable if each.incarnation != own_peer.incarnation]
