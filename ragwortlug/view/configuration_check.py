"""Checks of a configuration before it is sent to an entry.

An entry refuses what contradicts itself by name. These checks also find what it would
accept without an error, though it can't have the effect that was intended.
"""

from dataclasses import dataclass
from enum import StrEnum

import msgspec

from ragwortlug.model import MAX_TASKS

# The sections of each kind of configuration whose items have names.
SECTIONS = ("services", "teams", "data_centres", "rules", "queues")


class Severity(StrEnum):
    """How serious a finding is."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True, slots=True)
class Finding:
    """Something in a configuration that is invalid or has no effect.

    Attributes
    ----------
    where : str
        The section and the name of the item.
    message : str
        What is wrong with it.
    """

    severity: Severity
    where: str
    message: str


def check_configuration(configuration):
    """Return the findings in a `Configuration`, a list of `Finding`."""
    return [
        *_duplicate_names(configuration),
        *_check_services(configuration),
        *_check_rules(configuration.rules),
    ]


def check_queues(table):
    """Return the findings in a `QueueTable`, a list of `Finding`."""
    findings = _duplicate_names(table)
    for number, queue in enumerate(table.queues):
        findings += _check_queue(queue)
        for earlier in table.queues[:number]:
            if (earlier.host, earlier.prefix) == (queue.host, queue.prefix):
                message = f"never matches: {earlier.name!r} has its host and prefix"
                findings.append(_error("queues", queue, message))
    if not table.body_limit:
        message = "0 bytes refuse every job"
        findings.append(Finding(Severity.ERROR, "body_limit", message))
    return findings


def differences(before, after):
    """Return what differs between two configurations, as lines of text.

    Lines begin with ``+``, ``-`` or ``~`` for items that are added, withdrawn or
    changed.
    """
    before, after = msgspec.to_builtins(before), msgspec.to_builtins(after)
    lines = []
    for section in SECTIONS:
        old = {item["name"]: item for item in before.get(section, ())}
        new = {item["name"]: item for item in after.get(section, ())}
        lines += [f"+ {section}.{name}" for name in new if name not in old]
        lines += [f"- {section}.{name}" for name in old if name not in new]
        for name in new:
            if name in old:
                lines += _changed_fields(f"{section}.{name}", old[name], new[name])
    scalars = {key for key in before | after if key not in SECTIONS}
    for key in sorted(scalars - {"version", "note_id"}):
        lines += _changed_fields("", {key: before.get(key)}, {key: after.get(key)})
    return lines


def _changed_fields(where, old, new):
    """Return a line for each field that has another value in the new item."""
    prefix = f"{where}." if where else ""
    return [
        f"~ {prefix}{key}: {old.get(key)!r} -> {new[key]!r}"
        for key in new
        if old.get(key) != new[key]
    ]


def _duplicate_names(configuration):
    """Return an error for each item that has the name of an earlier one."""
    findings = []
    for section in SECTIONS:
        names = set()
        for item in getattr(configuration, section, ()):
            if item.name in names:
                message = "another item of the section has this name"
                findings.append(_error(section, item, message))
            names.add(item.name)
    return findings


def _check_services(configuration):
    """Return the findings in services and in what refers to them."""
    findings = []
    centres = {centre.name: centre for centre in configuration.data_centres}
    for service in configuration.services:
        unknown = [name for name in service.data_centres if name not in centres]
        for name in unknown:
            message = f"no data centre is named {name!r}"
            findings.append(_error("services", service, message))
        in_service = [
            name
            for name in service.data_centres
            if name in centres and centres[name].in_service
        ]
        if not in_service:
            message = "no task can start: none of its data centres is in service"
            findings.append(_warning("services", service, message))
    names = {
        "team": {team.name for team in configuration.teams},
        "service": {service.name for service in configuration.services},
    }
    for rule in configuration.rules:
        for field, known in names.items():
            name = getattr(rule, field)
            if name and name not in known:
                message = f"no {field} is named {name!r}"
                findings.append(_error("rules", rule, message))
    return findings


def _check_rules(rules):
    """Return a warning for each rule that never has an effect."""
    findings = []
    for rule in rules:
        if rule.above_tasks >= MAX_TASKS:
            message = f"never matches: no job has more than {MAX_TASKS} tasks"
            findings.append(_warning("rules", rule, message))
        for other in rules:
            if other is not rule and _makes_needless(other, rule, rules):
                message = f"has no effect: {other.name!r} covers the same jobs"
                findings.append(_warning("rules", rule, message))
    return findings


def _makes_needless(other, rule, rules):
    """Return whether a rule changes nothing beside another one.

    A rule that stops jobs refuses new ones as well, so that none of them is left to
    be refused or throttled.
    """
    covers = (
        other.team in ("", rule.team)
        and other.service in ("", rule.service)
        and other.above_tasks <= rule.above_tasks
    )
    if not covers:
        return False
    if other.action != rule.action:
        return other.action == "stop"
    is_equal = (other.team, other.service, other.above_tasks) == (
        rule.team,
        rule.service,
        rule.above_tasks,
    )
    return not is_equal or rules.index(other) < rules.index(rule)


def _check_queue(queue):
    """Return the findings in one queue."""
    findings = []
    if not queue.prefix.startswith("/"):
        message = f"never matches: the prefix {queue.prefix!r} does not begin with '/'"
        findings.append(_error("queues", queue, message))
    if not queue.host:
        message = "never matches: it has no host"
        findings.append(_error("queues", queue, message))
    if queue.max_attempts < 1:
        message = f"max_attempts is {queue.max_attempts}; a task needs one"
        findings.append(_error("queues", queue, message))
    if queue.stretch < 1.0:
        message = f"a stretch of {queue.stretch} is less than the run time itself"
        findings.append(_warning("queues", queue, message))
    if 0 < queue.timeout_ms <= queue.slack_ms:
        message = (
            f"timeout_ms {queue.timeout_ms} ends requests before slack_ms "
            f"{queue.slack_ms} has passed"
        )
        findings.append(_warning("queues", queue, message))
    if queue.needs_advice:
        message = "each of its jobs is refused: advice is not supported"
        findings.append(_warning("queues", queue, message))
    return findings


def _error(section, item, message):
    """Return an error in an item of a section."""
    return Finding(Severity.ERROR, f"{section}.{item.name}", message)


def _warning(section, item, message):
    """Return a warning about an item of a section."""
    return Finding(Severity.WARNING, f"{section}.{item.name}", message)
