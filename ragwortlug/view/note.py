"""Release notes, and the configuration that results from the accepted ones."""

from dataclasses import dataclass, field, replace
from typing import Literal

from ragwortlug.decoding import Natural, Positive
from ragwortlug.errors import NoteError
from ragwortlug.model import Name


@dataclass(frozen=True, slots=True)
class Service:
    """A service and the data centres that it may run in.

    Attributes
    ----------
    lease_ms : int
        Maximum run time of one task, after which the agent stops it.
    """

    name: Name
    data_centres: tuple[Name, ...]
    lease_ms: Positive = 60_000


@dataclass(frozen=True, slots=True)
class Team:
    """A team and the number of its tasks that may run at once (0: no limit)."""

    name: Name
    quota: Natural = 0


@dataclass(frozen=True, slots=True)
class DataCentre:
    """A data centre, in service or taken out."""

    name: Name
    in_service: bool = True


@dataclass(frozen=True, slots=True)
class Rule:
    """A rule by which jobs are refused, stopped or throttled.

    Attributes
    ----------
    action : {"refuse", "stop", "throttle"}
        ``refuse`` rejects new jobs; ``stop`` also drops queued tasks and
        stops running ones; ``throttle`` asks targets to run tasks slower.
    team, service : str
        The team and service that the rule covers; empty for any.
    above_tasks : int
        The rule covers jobs of more tasks than this.
    """

    name: Name
    action: Literal["refuse", "stop", "throttle"]
    team: str = ""
    service: str = ""
    above_tasks: Natural = 0

    def covers(self, team, service, tasks):
        """Return whether the rule covers a job of that team, service and size."""
        return (
            self.team in ("", team)
            and self.service in ("", service)
            and tasks > self.above_tasks
        )


@dataclass(frozen=True, slots=True)
class Changes:
    """The items that a note adds or changes."""

    services: tuple[Service, ...] = ()
    teams: tuple[Team, ...] = ()
    data_centres: tuple[DataCentre, ...] = ()
    rules: tuple[Rule, ...] = ()


@dataclass(frozen=True, slots=True)
class Withdrawals:
    """The names that a note withdraws."""

    services: tuple[Name, ...] = ()
    teams: tuple[Name, ...] = ()
    data_centres: tuple[Name, ...] = ()
    rules: tuple[Name, ...] = ()


@dataclass(frozen=True, slots=True)
class ReleaseNote:
    """A change of the configuration that operators request, based on a version.

    Attributes
    ----------
    id : str
        Makes the note idempotent: submitted again, it is not applied again.
    base : int
        The configuration version that the note is written against.
    """

    id: Name
    base: Natural
    added: Changes = field(default_factory=Changes)
    changed: Changes = field(default_factory=Changes)
    withdrawn: Withdrawals = field(default_factory=Withdrawals)
    comment: str = ""


@dataclass(frozen=True, slots=True)
class Configuration:
    """The configuration in force: the result of all accepted notes."""

    version: Natural = 0
    note_id: str = ""
    services: tuple[Service, ...] = ()
    teams: tuple[Team, ...] = ()
    data_centres: tuple[DataCentre, ...] = ()
    rules: tuple[Rule, ...] = ()

    def service(self, name):
        """Return the service of that name, or None."""
        return _named(self.services, name)

    def team(self, name):
        """Return the team of that name, or None."""
        return _named(self.teams, name)

    def permits(self, service_name, data_centre):
        """Return whether tasks of the service may start in the data centre."""
        service = self.service(service_name)
        centre = _named(self.data_centres, data_centre)
        return (
            service is not None
            and centre is not None
            and centre.in_service
            and data_centre in service.data_centres
        )

    def in_service(self, data_centre):
        """Return whether the data centre is in service; unknown ones are."""
        centre = _named(self.data_centres, data_centre)
        return centre is None or centre.in_service

    def rule_applies(self, team, service, tasks, *actions):
        """Return whether a rule with one of these actions covers such a job."""
        return any(
            rule.action in actions and rule.covers(team, service, tasks)
            for rule in self.rules
        )


KINDS = ("services", "teams", "data_centres", "rules")


def apply_note(configuration, note):
    """Return the configuration after the note.

    Raises
    ------
    NoteError
        Lists every reason why the note can't be applied.
    """
    reasons = []
    parts = {}
    for kind in KINDS:
        parts[kind] = _merge(kind, configuration, note, reasons)
    _check_references(parts, reasons)
    if reasons:
        raise NoteError(reasons)
    return replace(
        configuration, version=configuration.version + 1, note_id=note.id, **parts
    )


def _merge(kind, configuration, note, reasons):
    """Return one kind's items after the note; append errors to `reasons`."""
    items = {item.name: item for item in getattr(configuration, kind)}
    for item in getattr(note.added, kind):
        if item.name in items:
            reasons.append(f"added.{kind}: {item.name!r} exists already")
        items[item.name] = item
    for item in getattr(note.changed, kind):
        if item.name not in items:
            reasons.append(f"changed.{kind}: {item.name!r} does not exist")
        items[item.name] = item
    for name in getattr(note.withdrawn, kind):
        if items.pop(name, None) is None:
            reasons.append(f"withdrawn.{kind}: {name!r} does not exist")
    return tuple(items.values())


def _check_references(parts, reasons):
    """Append a reason for each reference to a name that does not exist."""
    centres = {centre.name for centre in parts["data_centres"]}
    services = {service.name for service in parts["services"]}
    teams = {team.name for team in parts["teams"]}
    for service in parts["services"]:
        for name in service.data_centres:
            if name not in centres:
                reasons.append(f"service {service.name!r}: no data centre {name!r}")
    for rule in parts["rules"]:
        if rule.team and rule.team not in teams:
            reasons.append(f"rule {rule.name!r}: no team {rule.team!r}")
        if rule.service and rule.service not in services:
            reasons.append(f"rule {rule.name!r}: no service {rule.service!r}")


def _named(items, name):
    """Return the item of that name, or None."""
    return next((item for item in items if item.name == name), None)
