"""Invariants: conditions that must hold in every run, checked while it runs.

Checks are always on in tests. In production the setting ``check_invariants``
turns them off. A violation raises `InvariantError` in the task that detects it.
"""

import enum

from ragwortlug.errors import InvariantError


class Invariant(enum.StrEnum):
    """The name of each invariant, for logs and for docs/promises.md."""

    START_ONCE = "a task is started at most once"
    START_CONFIRMED = "a start happens under a confirmed view that permits it"
    ANSWER_WHOLE = "an answer is complete or failed"
    ANSWER_FINAL = "an answer given never changes"
    NOT_RUN_TRUE = "a task reported as not run was never started"
    VERSION_RISES = "a view never reverts"
    ONE_RUN = "a restartable task has at most one run at a time"
    RESOURCES_BOUND = "a worker is sent no more than its room holds"
    LEASE_BOUND = "a worker's lease never outlives a permission"
    SLOTS_BOUND = "an agent runs at most as many tasks as it has slots"
    REPLY_MATCHES = "an answer goes to the request that it names"


_enabled = True


def enable(on):
    """Turn checking on or off for this process."""
    global _enabled
    _enabled = bool(on)


def check(invariant, holds, **details):
    """Raise `InvariantError` if the condition is false and checks are on.

    Parameters
    ----------
    invariant : Invariant
        The condition that is checked.
    holds : bool
        Whether the condition is true.
    **details
        Values that the error message lists.
    """
    if _enabled and not holds:
        shown = ", ".join(f"{name}={value!r}" for name, value in details.items())
        raise InvariantError(f"{invariant}: {shown}")
