"""Reads and writes the store for an entry, and answers polls.

The registrar confirms the entry's view by reading the store, answers the polls of
other processes, commits changes of the roster and accepts release notes.
"""

import asyncio
from dataclasses import dataclass, replace

import msgspec

from ragwortlug.actor import cancel_all
from ragwortlug.codes import Code
from ragwortlug.decoding import JsonDecoder
from ragwortlug.errors import (
    NoteError,
    RagwortlugError,
    StoreAnswerLostError,
    StoreError,
)
from ragwortlug.io.etcd import ConditionalPut
from ragwortlug.io.view_sync import possibly_live_peers
from ragwortlug.lease_settings import is_address
from ragwortlug.messages import Confirmation, News, Poll
from ragwortlug.telemetry.logs import OnceLogger, logger
from ragwortlug.view.note import Configuration, ReleaseNote, apply_note
from ragwortlug.view.roster import Roster, apply_roster_change, describe_change
from ragwortlug.view.view import Change

CONFIGURATION_KEY = "/live/configuration"
ROSTER_KEY = "/live/roster"
LIVE_KEYS = "/live/"
NOTE_KEYS = "/notes/"
COMMIT_MARGIN_MS = 1000
MAX_RESOLVE_ATTEMPTS = 6
RESOLVE_INTERVAL_S = 0.5
POLLS_BEFORE_FIRST_ROSTER = 3

log = logger("registrar")
once_log = OnceLogger(log)


@dataclass(frozen=True, slots=True)
class AcceptedNote:
    """A release note and its version, as stored."""

    version: int
    note: ReleaseNote


_note_decoder = JsonDecoder(AcceptedNote)


@dataclass(frozen=True, slots=True)
class NoteResult:
    """The result of submitting a release note."""

    code: Code
    version: int
    reasons: tuple[str, ...] = ()


class Registrar:
    """Keeps an entry's view up to date with the store.

    Parameters
    ----------
    view_sync : ViewSync
        Holds the entry's view.
    membership : MembershipTracker
        Records the sender of every poll.
    quorum : QuorumTracker
        Knows when other entries last answered a poll.
    announcer : Announcer
        Announces changes to other entries before they are written.
    store, peers, timer, metrics
        The services of those names.
    settings : ViewSettings
        Intervals and timeouts of the view.
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
        """The seconds since the store was last read, or None."""
        if self._store_read_at is None:
            return None
        return self._timer.monotonic() - self._store_read_at

    async def start(self):
        """Start reading the store and answering polls."""
        self._peers.register_handler(Poll, self._on_poll)
        self._view_sync.changes.subscribe(self._on_view_change)
        self._tasks = [
            asyncio.create_task(self._run_periodically(self._refresh_view)),
            asyncio.create_task(self._run_periodically(self._commit_roster)),
        ]

    async def stop(self):
        """Stop reading the store."""
        await cancel_all(self._tasks)

    # Release notes.

    async def submit(self, note):
        """Commit a release note and return a `NoteResult`.

        Submitting the same note again does not apply it again.
        """
        async with self._commit_lock:
            try:
                return await self._commit_note(note)
            except StoreAnswerLostError:
                return await self._resolve_lost_answer(note)
            except NoteError as error:
                return self._result(error.code, error.reasons)
            except RagwortlugError as error:
                return self._result(error.code, (error.detail,))

    async def history(self):
        """Return all valid `AcceptedNote`, oldest first."""
        notes = []
        for value in await self._store.list(NOTE_KEYS):
            try:
                notes.append(_note_decoder.decode(value))
            except msgspec.DecodeError as error:
                once_log.warning(value, "Skipped an invalid release note: {}.", error)
        return sorted(notes, key=lambda accepted: accepted.version)

    async def accepted(self, note_id):
        """Return the `AcceptedNote` with an id, or None."""
        stored = await self._store.get(NOTE_KEYS + note_id)
        if not stored.revision:
            return None
        return _decoded(NOTE_KEYS + note_id, stored, _note_decoder)

    def lagging_members(self, version):
        """Return the names of processes that may not yet apply a version.

        A process that has not reported the version stops starting tasks once
        `confirm_s` seconds have passed since the commit.
        """
        if self._view.configuration.version < version:
            return ("this entry",)
        learned_at = self._learned_at.get(version, self._started_at)
        if self._timer.monotonic() - learned_at >= self._settings.confirm_s:
            return ()
        agents = (*self._view.roster.present_members("agent"),)
        own_incarnation = self._peers.own_peer.incarnation
        entries = self._view.roster.present_members("entry")
        others = [entry for entry in entries if entry.incarnation != own_incarnation]
        return tuple(
            member.name
            for member in (*agents, *others)
            if self._known_versions.get(member.incarnation, 0) < version
        )

    async def _commit_note(self, note):
        """Commit a note and return a `NoteResult`, or raise `RagwortlugError`."""
        await self._refresh_view()
        accepted = await self.accepted(note.id)
        if accepted is not None:
            return self._result_of_accepted(note, accepted)
        current = self._view.configuration
        if note.base != current.version:
            reason = (
                f"base is {note.base}, but version {current.version} "
                f"by note {current.note_id!r} holds"
            )
            return self._result(Code.NOTE_CONFLICT, (reason,))
        configuration = apply_note(current, note)
        change = Change(configuration=configuration)
        await self._announcer.announce(change)
        record = AcceptedNote(configuration.version, note)
        revision = self._revisions[CONFIGURATION_KEY]
        written = await self._store.write(
            [
                ConditionalPut(
                    CONFIGURATION_KEY, msgspec.json.encode(configuration), revision
                ),
                ConditionalPut(NOTE_KEYS + note.id, msgspec.json.encode(record), 0),
            ]
        )
        if not written:
            await self._refresh_view()
            accepted = await self.accepted(note.id)
            if accepted is not None:
                return self._result_of_accepted(note, accepted)
            current = self._view.configuration
            reason = f"version {current.version} by note {current.note_id!r} came first"
            return self._result(Code.NOTE_CONFLICT, (reason,))
        self._apply_and_broadcast(change)
        return NoteResult(Code.NOTE_COMMITTED, configuration.version)

    async def _resolve_lost_answer(self, note):
        """Find out whether a note was committed whose write had no answer."""
        for _ in range(MAX_RESOLVE_ATTEMPTS):
            await asyncio.sleep(RESOLVE_INTERVAL_S)
            try:
                accepted = await self.accepted(note.id)
                await self._refresh_view()
            except StoreError:
                continue
            if accepted is not None:
                self._apply_and_broadcast(
                    Change(configuration=self._view.configuration)
                )
                return self._result_of_accepted(note, accepted)
        reason = "the store's answer was lost; submit the same note again to learn"
        return self._result(Code.NOTE_UNKNOWN, (reason,))

    def _result_of_accepted(self, note, accepted):
        """Return the `NoteResult` for a note whose id is already accepted."""
        if accepted.note == note:
            return NoteResult(Code.NOTE_COMMITTED, accepted.version)
        reason = f"id {note.id!r} belongs to a different note"
        return NoteResult(Code.NOTE_CONFLICT, accepted.version, (reason,))

    def _result(self, code, reasons):
        """Return a `NoteResult` with the current version."""
        return NoteResult(code, self._view.configuration.version, tuple(reasons))

    # The store.

    async def _run_periodically(self, action):
        """Call `action` every `poll_s` seconds; log its errors and continue."""
        while True:
            try:
                await action()
            except RagwortlugError as error:
                self._metrics.count("registrar_errors", str(int(error.code)))
                log.debug("Will retry after an error: {}.", error)
            except Exception:
                self._metrics.count("registrar_errors", str(int(Code.INTERNAL)))
                log.exception("Unexpected error in the registrar.")
            await asyncio.sleep(self._settings.poll_s)

    async def _refresh_view(self):
        """Read the store and confirm the view; without the store, use the quorum.

        Raises
        ------
        StoreError
            The store could not be read.
        """
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
        """Read the configuration and the roster if their revisions changed."""
        revisions = await self._store.revisions(LIVE_KEYS)
        if revisions.get(CONFIGURATION_KEY, 0) != self._revisions[CONFIGURATION_KEY]:
            configuration = await self._read_key(CONFIGURATION_KEY, Configuration)
            self._view_sync.apply_change(Change(configuration=configuration))
        if revisions.get(ROSTER_KEY, 0) != self._revisions[ROSTER_KEY]:
            roster = await self._read_key(ROSTER_KEY, Roster)
            self._view_sync.apply_change(Change(roster=roster))

    async def _read_key(self, key, kind):
        """Return the decoded value of a key and record its revision.

        A value that can't be read may be newer than the view, so it counts as a store
        that does not answer: the view is not confirmed by it.
        """
        stored = await self._store.get(key)
        value = _decoded(key, stored, JsonDecoder(kind))
        self._revisions[key] = stored.revision
        return value

    def _confirm_by_quorum(self):
        """Confirm the view by a quorum of the entries, if that is allowed."""
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
        """Write membership changes to the roster in the store."""
        now = self._timer.monotonic()
        if now - self._started_at < POLLS_BEFORE_FIRST_ROSTER * self._settings.poll_s:
            return
        if self.store_age_s is None or self.store_age_s > self._settings.confirm_s:
            return
        self._record_own_heartbeat(now)
        await asyncio.sleep(self._settings.poll_s * self._commit_rank())
        async with self._commit_lock:
            roster = self._next_roster(self._timer.monotonic())
            if roster is not self._view.roster:
                await self._write_roster(roster)

    def _next_roster(self, now):
        """Return the roster with detected changes, or the same object if none."""
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
        """Commit a roster; without a majority, disable the quorum first."""
        try:
            await self._announcer.announce(Change(roster=roster))
            roster = replace(roster, vouching=True)
        except RagwortlugError:
            roster = self._roster_without_majority(roster)
            if roster is None:
                raise
        description = describe_change(self._view.roster, roster)
        revision = self._revisions[ROSTER_KEY]
        value = msgspec.json.encode(roster)
        written = await self._store.write([ConditionalPut(ROSTER_KEY, value, revision)])
        await self._refresh_view()
        if written:
            log.info("Roster {} is committed: {}.", roster.version, description)
            self._apply_and_broadcast(Change(roster=roster))

    def _roster_without_majority(self, roster):
        """Return the roster to commit without a majority, or None for not yet.

        The first such roster only disables confirmation by quorum, which revokes
        no permission. Other changes follow after `vouch_s` + `confirm_s` seconds:
        by then every process that has not read it has stopped confirming by quorum.
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
        """Record a heartbeat of this entry itself."""
        self._membership.on_heartbeat(
            self._view_sync.member, now, self._view_sync.leaving
        )

    def _commit_rank(self):
        """Return how many polling intervals this entry waits before it commits.

        The entries take turns by incarnation, so that they rarely conflict.
        """
        incarnations = sorted(
            entry.incarnation for entry in self._view.roster.present_members("entry")
        )
        own_incarnation = self._peers.own_peer.incarnation
        return (
            incarnations.index(own_incarnation)
            if own_incarnation in incarnations
            else len(incarnations)
        )

    # Messages of other processes.

    def _on_poll(self, sender, message):
        """Record the sender's heartbeat and answer with a `Confirmation`."""
        if not is_address(message.member.address):
            once_log.warning(
                message.member.address,
                "Skipped a member at an invalid address: {!r}.",
                message.member.address,
            )
            return
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
            self._missing_change(versions),
            self._quorum.announced_changes(view.versions),
            self._confirmed_by_quorum,
        )
        self._peers.send(sender, confirmation)

    def _missing_change(self, versions):
        """Return the `Change` that brings these versions up to date, or None."""
        view = self._view
        if versions.covers(view.versions):
            return None
        newer = view.configuration.version > versions.configuration
        configuration = view.configuration if newer else None
        roster = view.roster if view.roster.version > versions.roster else None
        return Change(configuration, roster)

    def _apply_and_broadcast(self, change):
        """Apply a committed change and send it to all other processes."""
        self._view_sync.apply_change(change)
        for peer in possibly_live_peers(self._view, self._peers.own_peer):
            self._peers.send(peer, News(change))

    def _on_view_change(self, view):
        """Record when the current version was first seen here."""
        version = view.configuration.version
        self._learned_at.setdefault(version, self._timer.monotonic())
        while len(self._learned_at) > 1000:
            del self._learned_at[next(iter(self._learned_at))]


def _decoded(key, stored, decoder):
    """Return the decoded value of a key, or raise `StoreError`."""
    try:
        return decoder.decode(stored.value)
    except msgspec.DecodeError as error:
        once_log.warning(
            (key, stored.revision), "The value of {} can't be read: {}.", key, error
        )
        raise StoreError(f"the value of {key} can't be read: {error}") from error
