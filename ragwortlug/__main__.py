"""Runs the command line as ``python -m ragwortlug``."""

import sys

from ragwortlug.early_signals import hold_signals

DAEMONS = ("entry", "agent")

# Signals end the other commands at once.
early_signals = hold_signals() if set(sys.argv[1:2]) & set(DAEMONS) else ()

from ragwortlug import cli  # noqa: E402


def main():
    """Run the command line and return its exit code."""
    return cli.main(early_signals=early_signals)


if __name__ == "__main__":
    sys.exit(main())
