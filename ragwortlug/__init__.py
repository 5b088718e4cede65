"""A dispatcher for sub-second tasks: its coordination logic and its daemons."""

import importlib

__version__ = "0.1.0"

# Public names by module. A module is imported on first use, so that a daemon doesn't
# load the parts of the package that it doesn't need.
_MODULES = {
    "ragwortlug.client": ("Client", "submit"),
    "ragwortlug.codes": ("Code", "Verdict"),
    "ragwortlug.errors": ("RagwortlugError",),
    "ragwortlug.model": ("Answer", "Job", "Task", "TaskOutcome", "new_job_id"),
}
_MODULE_BY_NAME = {name: module for module, names in _MODULES.items() for name in names}

__all__ = sorted(_MODULE_BY_NAME)


def __getattr__(name):
    """Import the module of a public name."""
    if name not in _MODULE_BY_NAME:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(_MODULE_BY_NAME[name]), name)
