"""Runs a benchmark: ``python -m bench NAME --seed N``."""

import argparse
import asyncio
import sys

from bench import path


def main():
    """Run the benchmark that the command line names."""
    parser = argparse.ArgumentParser(prog="bench")
    commands = parser.add_subparsers(required=True)
    command = commands.add_parser("path", help=path.__doc__)
    command.add_argument("--seed", type=int, default=1)
    command.set_defaults(run=lambda parsed: path.measure(parsed.seed))
    parsed = parser.parse_args()
    return asyncio.run(parsed.run(parsed))


if __name__ == "__main__":
    sys.exit(main())
