"""The view of one process: its known configuration and roster, and their age.

A view is confirmed while the time since the request for its last confirmation is
less than the confirmation time. Only a confirmed view permits a start. While the
store does not answer, changes that are announced but not known to be committed also
apply as restrictions: a start must be permitted by the accepted configuration and by
every announced one.
"""

from dataclasses import dataclass

from ragwortlug.invariants import Invariant, check
from ragwortlug.view.homes import HomeGuard, HomeMap
from ragwortlug.view.note import Configuration
from ragwortlug.view.roster import Roster


@dataclass(frozen=True, slots=True)
class Versions:
    """The versions of the two halves of a view."""

    configuration: int = 0
    roster: int = 0

    def covers(self, other):
        """Return whether neither half is older than the other's."""
        return self.configuration >= other.configuration and self.roster >= other.roster


@dataclass(frozen=True, slots=True)
class Change:
    """A change that is about to be written to the store: one of its halves."""

    configuration: Configuration | None = None
    roster: Roster | None = None

    def is_superseded_by(self, versions):
        """Return whether an accepted version is as new as this change or newer."""
        if self.configuration is not None:
            return self.configuration.version <= versions.configuration
        return self.roster.version <= versions.roster


class View:
    """The configuration and roster known to this process, with their age.

    Parameters
    ----------
    confirm_s : float
        How long a confirmation lasts.
    skew_ms : int
        Greatest difference between two processes' wall clocks.
    """

    def __init__(self, confirm_s, skew_ms):
        self._confirm_s = confirm_s
        self._confirmed_at = None
        self.configuration = Configuration()
        self.roster = Roster()
        self.home_map = HomeMap(self.roster)
        self.home_guard = HomeGuard(int(confirm_s * 1000) + 2 * skew_ms)
        self._announced = ()
        self._announced_homes = []

    @property
    def versions(self):
        """Return the versions known to this process."""
        return Versions(self.configuration.version, self.roster.version)

    @property
    def announced_changes(self):
        """Return the announced changes that restrict this process."""
        return self._announced

    def update_configuration(self, configuration):
        """Store a configuration if it is newer; return whether it was."""
        if configuration.version <= self.configuration.version:
            return False
        previous_version = self.configuration.version
        self.configuration = configuration
        check(
            Invariant.VERSION_RISES,
            self.configuration.version > previous_version,
            before=previous_version,
            after=configuration.version,
        )
        self._drop_superseded()
        return True

    def update_roster(self, roster, now_ms):
        """Store a roster if it is newer; return whether it was."""
        if roster.version <= self.roster.version:
            return False
        self.roster = roster
        self.home_map = HomeMap(roster)
        self.home_guard.on_roster(roster, now_ms)
        self._drop_superseded()
        return True

    def set_announced_changes(self, announced):
        """Replace the announced changes that restrict this process."""
        if announced != self._announced:
            self._announced = tuple(announced)
            self._drop_superseded()

    def is_home(self, job_id, incarnation):
        """Return whether a process is an id's home by all known rosters."""
        return all(
            _is_home(home_map, job_id, incarnation)
            for home_map in (self.home_map, *self._announced_homes)
        )

    def confirm(self, versions, asked_at, age_s):
        """Record a confirmation that was valid `age_s` before it was requested.

        Parameters
        ----------
        versions : Versions
            The current versions by the answer; it confirms nothing if this process
            knows an older one.
        asked_at : float
            Monotonic seconds at which this process sent the request.
        age_s : float
            The age of the information when the answer was sent.
        """
        if not self.versions.covers(versions):
            return
        confirmed_at = asked_at - age_s
        if self._confirmed_at is None or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at

    def age_s(self, now):
        """Return the seconds since the last confirmation, or None."""
        return None if self._confirmed_at is None else now - self._confirmed_at

    def is_confirmed(self, now):
        """Return whether the last confirmation is recent enough."""
        age = self.age_s(now)
        return age is not None and age < self._confirm_s

    def permits_start(self, service, data_centre, now):
        """Return whether a task of the service may start in the data centre now."""
        return self.is_confirmed(now) and all(
            configuration.permits(service, data_centre)
            for configuration in (self.configuration, *self._announced_configurations())
        )

    def _announced_configurations(self):
        """Yield the announced configurations."""
        for change in self._announced:
            if change.configuration is not None:
                yield change.configuration

    def _drop_superseded(self):
        """Drop announced changes that the accepted versions supersede."""
        self._announced = tuple(
            change
            for change in self._announced
            if not change.is_superseded_by(self.versions)
        )
        rosters = (change.roster for change in self._announced)
        self._announced_homes = [HomeMap(roster) for roster in rosters if roster]


def _is_home(home_map, job_id, incarnation):
    """Return whether a process is an id's home by a home map."""
    home = home_map.home_of(job_id)
    return home is not None and home.incarnation == incarnation
