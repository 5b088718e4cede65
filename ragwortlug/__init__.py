"""A dispatcher for sub-second tasks: coordination parts, and thin daemons on them."""

import importlib

__version__ = "0.1.0"

# Public names by module. Each is imported when it is first used: a daemon that needs
# only one part of the package doesn't pay for the others.
_MODULES = {
    "ragwortlug.client": ("Client", "submit"),
    "ragwortlug.codes": ("Code", "Verdict"),
    "ragwortlug.errors": ("RagwortlugError",),
    "ragwortlug.model": ("Answer", "Job", "Task", "TaskOutcome", "new_job_id"),
}
_HOMES = {name: module for module, names in _MODULES.items() for name in names}

__all__ = sorted(_HOMES)


def __getattr__(name):
    """Import the module of a public name."""
    if name not in _HOMES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(_HOMES[name]), name)
