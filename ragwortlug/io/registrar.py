"""The registrar: an entry's dealings with the store, and its word to others.

It confirms the entry's view by reading the store, answers other processes'
polls, commits what the roster lacks, and accepts release notes.
"""

import asyncio
from dataclasses import dataclass, replace

import msgspec

from ragwortlug.actor import cancel_all
from ragwortlug.codes import Code
from ragwortlug.errors import (
    NoteError,
    RagwortlugError,
    StoreAnswerLostError,
    StoreError,
)
from ragwortlug.io.etcd import ConditionalPut
from ragwortlug.io.view_sync import possibly_live_peers
from ragwortlug.messages import Confirmation, News, Poll
from ragwortlug.telemetry.logs import logger
from ragwortlug.view.note import Configuration, ReleaseNote, apply_note
from ragwortlug.view.roster import Roster, apply_roster_change, describe_change
from ragwortlug.view.view import Change

CONFIGURATION_KEY = "/live/configuration"
ROSTER_KEY = "/live/roster"
LIVE_KEYS = "/live/"
NOTE_KEYS = "/notes/"
COMMIT_MARGIN_MS = 1000
RESOLVE_TRIES = 6
RESOLVE_PAUSE_S = 0.5
POLLS_BEFORE_FIRST_ROSTER = 3

log = logger("registrar")


@dataclass(frozen=True, slots=True)
class AcceptedNote:
    """A release note as it is kept in the store."""

    version: int
    note: ReleaseNote


@dataclass(frozen=True, slots=True)
class NoteResult:
    """What became of a submitted note."""

    code: Code
    version: int
    reasons: tuple[str, ...] = ()


class Registrar:
    """The entry's part that talks to the store.

    Parameters
    ----------
    view_sync : ViewSync
        Keeps the entry's view.
    membership : MembershipTracker
        Is told of every poll.
    quorum : QuorumTracker
        Knows when other entries vouched.
    announcer : Announcer
        Tells other entries of changes before they are written.
    store, peers, timer, metrics
        The services of those names.
    settings : ViewSettings
        Freshness and the like.
    """

    def __init__(
        self,
        view_sync,
        membership,
        quorum,
        announcer,
        store,
        peers,
        timer,
        metrics,
        settings,
    ):
        self._view_sync = view_sync
        self._view = view_sync.view
        self._membership = membership
        self._quorum = quorum
        self._announcer = announcer
        self._store = store
        self._peers = peers
        self._timer = timer
        self._metrics = metrics
        self._settings = settings
        self._revisions = {CONFIGURATION_KEY: 0, ROSTER_KEY: 0}
        self._known_versions = {}
        self._learned_at = {}
        self._store_read_at = None
        self._confirmed_by_quorum = False
        self._quorum_disabled_since = None
        self._started_at = timer.monotonic()
        self._commit_lock = asyncio.Lock()
        self._tasks = []

    @property
    def store_age_s(self):
        """Return the seconds since the store was read, or None."""
        if self._store_read_at is None:
            return None
        return self._timer.monotonic() - self._store_read_at

    async def start(self):
        """Begin to read the store and to answer polls."""
        self._peers.register_handler(Poll, self._on_poll)
        self._view_sync.changes.subscribe(self._note_learned)
        self._tasks = [
            asyncio.create_task(self._keep(self._refresh)),
            asyncio.create_task(self._keep(self._commit_roster)),
        ]

    async def stop(self):
        """Stop reading."""
        await cancel_all(self._tasks)

    # Release notes.

    async def submit(self, note):
        """Commit a release note and return a `NoteResult`.

        The same note submitted again is not applied again.
        """
        async with self._commit_lock:
            try:
                return await self._submit(note)
            except StoreAnswerLostError:
                return await self._resolve_lost_answer(note)
            except NoteError as error:
                return self._result(error.code, error.reasons)
            except RagwortlugError as error:
                return self._result(error.code, (error.detail,))

    async def history(self):
        """Return the accepted notes, the oldest first."""
        entries = await self._store.list(NOTE_KEYS)
        notes = [msgspec.json.decode(each, type=AcceptedNote) for each in entries]
        return sorted(notes, key=lambda each: each.version)

    async def accepted(self, note_id):
        """Return an `AcceptedNote` by its id, or None."""
        stored = await self._store.get(NOTE_KEYS + note_id)
        if not stored.revision:
            return None
        return msgspec.json.decode(stored.value, type=AcceptedNote)

    def lagging_members(self, version):
        """Return the names of processes that may not yet act by a version.

        A process that has not said that it knows the version has stopped
        starting tasks once the confirmation time has passed since the commit.
        """
        if self._view.configuration.version < version:
            return ("this entry",)
        learned_at = self._learned_at.get(version, self._started_at)
        if self._timer.monotonic() - learned_at >= self._settings.confirm_s:
            return ()
        present = (*self._view.roster.present_members("agent"),)
        own_incarnation = self._peers.own_peer.incarnation
        entries = self._view.roster.present_members("entry")
        others = [each for each in entries if each.incarnation != own_incarnation]
        return tuple(
            each.name
            for each in (*present, *others)
            if self._known_versions.get(each.incarnation, 0) < version
        )

    async def _submit(self, note):
        """Commit a note, or raise."""
        await self._refresh()
        accepted = await self.accepted(note.id)
        if accepted is not None:
            return self._result_of(note, accepted)
        current = self._view.configuration
        if note.base != current.version:
            reason = (
                f"base is {note.base}, but version {current.version} "
                f"by note {current.note_id!r} holds"
            )
            return self._result(Code.NOTE_CONFLICT, (reason,))
        after = apply_note(current, note)
        change = Change(configuration=after)
        await self._announcer.announce(change)
        record = AcceptedNote(after.version, note)
        revision = self._revisions[CONFIGURATION_KEY]
        written = await self._store.write(
            [
                ConditionalPut(CONFIGURATION_KEY, msgspec.json.encode(after), revision),
                ConditionalPut(NOTE_KEYS + note.id, msgspec.json.encode(record), 0),
            ]
        )
        if not written:
            await self._refresh()
            accepted = await self.accepted(note.id)
            if accepted is not None:
                return self._result_of(note, accepted)
            holds = self._view.configuration
            reason = f"version {holds.version} by note {holds.note_id!r} came first"
            return self._result(Code.NOTE_CONFLICT, (reason,))
        self._spread(change)
        return NoteResult(Code.NOTE_COMMITTED, after.version)

    async def _resolve_lost_answer(self, note):
        """Find out whether a note whose answer was lost took effect."""
        for _ in range(RESOLVE_TRIES):
            await asyncio.sleep(RESOLVE_PAUSE_S)
            try:
                accepted = await self.accepted(note.id)
                await self._refresh()
            except StoreError:
                continue
            if accepted is not None:
                self._spread(Change(configuration=self._view.configuration))
                return self._result_of(note, accepted)
        reason = "the store's answer was lost; submit the same note again to learn"
        return self._result(Code.NOTE_UNKNOWN, (reason,))

    def _result_of(self, note, accepted):
        """Return the result of a note whose id is accepted already."""
        if accepted.note == note:
            return NoteResult(Code.NOTE_COMMITTED, accepted.version)
        reason = f"id {note.id!r} belongs to a different note"
        return NoteResult(Code.NOTE_CONFLICT, accepted.version, (reason,))

    def _result(self, code, reasons):
        """Return a result that names the present version."""
        return NoteResult(code, self._view.configuration.version, tuple(reasons))

    # The store.

    async def _keep(self, action):
        """Carry out an action each polling time, whatever comes of it."""
        while True:
            try:
                await action()
            except RagwortlugError as error:
                self._metrics.count("registrar_errors", str(int(error.code)))
                log.debug("Deferred: {}.", error)
            except Exception:
                self._metrics.count("registrar_errors", str(int(Code.INTERNAL)))
                log.exception("The registrar met an unexpected error.")
            await asyncio.sleep(self._settings.poll_s)

    async def _refresh(self):
        """Read the store and confirm the view, or let the majority vouch."""
        asked_at = self._timer.monotonic()
        try:
            await self._read_changes()
        except StoreError:
            self._confirm_by_quorum()
            raise
        self._store_read_at = asked_at
        self._confirmed_by_quorum = False
        self._view.set_announced_changes(())
        self._view.confirm(self._view.versions, asked_at, 0.0)

    async def _read_changes(self):
        """Learn what has changed in the store."""
        revisions = await self._store.revisions(LIVE_KEYS)
        if revisions.get(CONFIGURATION_KEY, 0) != self._revisions[CONFIGURATION_KEY]:
            configuration = await self._read(CONFIGURATION_KEY, Configuration)
            self._view_sync.apply_change(Change(configuration=configuration))
        if revisions.get(ROSTER_KEY, 0) != self._revisions[ROSTER_KEY]:
            roster = await self._read(ROSTER_KEY, Roster)
            self._view_sync.apply_change(Change(roster=roster))

    async def _read(self, key, kind):
        """Return the value of a key and remember its revision."""
        stored = await self._store.get(key)
        value = msgspec.json.decode(stored.value, type=kind)
        self._revisions[key] = stored.revision
        return value

    def _confirm_by_quorum(self):
        """Confirm the view by the majority of the entries."""
        age_s = self.store_age_s
        if age_s is None or age_s > self._settings.vouch_s:
            return
        if not self._view.roster.vouching:
            return
        quorum_confirmed_at = self._quorum.quorum_confirmed_at(
            self._announcer.rosters(), self._timer.monotonic()
        )
        if quorum_confirmed_at is not None:
            self._confirmed_by_quorum = True
            self._view.set_announced_changes(
                self._quorum.announced_changes(self._view.versions)
            )
            self._view.confirm(self._view.versions, quorum_confirmed_at, 0.0)

    # The roster.

    async def _commit_roster(self):
        """Write to the store what the roster lacks."""
        now = self._timer.monotonic()
        if now - self._started_at < POLLS_BEFORE_FIRST_ROSTER * self._settings.poll_s:
            return
        if self.store_age_s is None or self.store_age_s > self._settings.confirm_s:
            return
        self._record_own_heartbeat(now)
        await asyncio.sleep(self._settings.poll_s * self._rank())
        async with self._commit_lock:
            roster = self._next_roster(self._timer.monotonic())
            if roster is not self._view.roster:
                await self._write_roster(roster)

    def _next_roster(self, now):
        """Return the roster with what it lacks, or the same roster."""
        view = self._view
        change = self._membership.detect_changes(view.roster, view.configuration, now)
        now_ms = self._timer.unix_ms()
        settings = self._settings
        lead_ms = int(settings.confirm_s * 1000) + 2 * settings.skew_ms
        return apply_roster_change(
            view.roster,
            change,
            now_ms + lead_ms + COMMIT_MARGIN_MS,
            now_ms - int(settings.window_s * 1000),
        )

    async def _write_roster(self, roster):
        """Announce and commit a roster; without a majority, end vouching first."""
        try:
            await self._announcer.announce(Change(roster=roster))
            roster = replace(roster, vouching=True)
        except RagwortlugError:
            roster = self._without_majority(roster)
            if roster is None:
                raise
        what = describe_change(self._view.roster, roster)
        revision = self._revisions[ROSTER_KEY]
        value = msgspec.json.encode(roster)
        written = await self._store.write([ConditionalPut(ROSTER_KEY, value, revision)])
        await self._refresh()
        if written:
            log.info("Roster {} is committed: {}.", roster.version, what)
            self._spread(Change(roster=roster))

    def _without_majority(self, roster):
        """Return what may be committed without a majority's knowledge, or None.

        First only that vouching ends, which takes no right from anybody. Once
        every process that had not read this must have stopped vouching, anything.
        """
        current = self._view.roster
        now = self._timer.monotonic()
        if current.vouching:
            self._quorum_disabled_since = None
            return replace(current, version=current.version + 1, vouching=False)
        if self._quorum_disabled_since is None:
            self._quorum_disabled_since = now
        limit_s = self._settings.vouch_s + self._settings.confirm_s
        if now - self._quorum_disabled_since <= limit_s:
            return None
        return replace(roster, vouching=False)

    def _record_own_heartbeat(self, now):
        """Count this entry as heard."""
        self._membership.on_heartbeat(
            self._view_sync.member, now, self._view_sync.leaving
        )

    def _rank(self):
        """Return how many polling times to let other entries go first."""
        names = sorted(
            each.incarnation for each in self._view.roster.present_members("entry")
        )
        own_incarnation = self._peers.own_peer.incarnation
        return names.index(own_incarnation) if own_incarnation in names else len(names)

    # Word to and from other processes.

    def _on_poll(self, sender, message):
        """Answer a poll."""
        now = self._timer.monotonic()
        self._membership.on_heartbeat(
            message.member, now, message.leaving, message.handed_over
        )
        versions = message.versions
        self._known_versions[sender.incarnation] = versions.configuration
        view = self._view
        age_s = view.age_s(now) if view.is_confirmed(now) else None
        confirmation = Confirmation(
            message.number,
            view.versions,
            age_s,
            self._lacking(versions),
            self._quorum.announced_changes(view.versions),
            self._confirmed_by_quorum,
        )
        self._peers.send(sender, confirmation)

    def _lacking(self, versions):
        """Return what a process with these versions lacks, or None."""
        view = self._view
        if versions.covers(view.versions):
            return None
        newer = view.configuration.version > versions.configuration
        configuration = view.configuration if newer else None
        roster = view.roster if view.roster.version > versions.roster else None
        return Change(configuration, roster)

    def _spread(self, change):
        """Learn a committed change and tell everybody."""
        self._view_sync.apply_change(change)
        for each in possibly_live_peers(self._view, self._peers.own_peer):
            self._peers.send(each, News(change))

    def _note_learned(self, view):
        """Remember when the present version was learned."""
        version = view.configuration.version
        self._learned_at.setdefault(version, self._timer.monotonic())
        while len(self._learned_at) > 1000:
            del self._learned_at[next(iter(self._learned_at))]
