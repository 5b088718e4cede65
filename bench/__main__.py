"""Runs a benchmark: ``python -m bench NAME --seed N``."""

import argparse
import asyncio
import sys

from bench import cancels, control, dispatch, force, path, processes, scenarios, slopes


async def _slopes(_parsed):
    slopes.measure()


async def _dispatch(_parsed):
    dispatch.measure_dispatch()


async def _cancels(_parsed):
    cancels.measure()


async def _all(parsed):
    slopes.measure()
    dispatch.measure_dispatch()
    cancels.measure()
    await force.measure()
    await path.measure(parsed.seed)
    await control.measure()
    await processes.measure(seed=parsed.seed)
    await scenarios.measure(parsed.seed)


def main():
    """Run the benchmark that the command line names."""
    parser = argparse.ArgumentParser(prog="bench")
    commands = parser.add_subparsers(required=True)
    command = commands.add_parser("path", help=path.__doc__)
    command.add_argument("--seed", type=int, default=1)
    command.set_defaults(run=lambda parsed: path.measure(parsed.seed))
    command = commands.add_parser("control", help=control.__doc__)
    command.set_defaults(run=lambda _: control.measure())
    command = commands.add_parser("force", help=force.__doc__)
    command.set_defaults(run=lambda _: force.measure())
    command = commands.add_parser("slopes", help=slopes.__doc__)
    command.set_defaults(run=_slopes)
    command = commands.add_parser("dispatch", help=dispatch.__doc__)
    command.set_defaults(run=_dispatch)
    command = commands.add_parser("cancels", help=cancels.__doc__)
    command.set_defaults(run=_cancels)
    command = commands.add_parser("scenarios", help=scenarios.__doc__)
    command.add_argument("--seed", type=int, default=1)
    command.add_argument("--deployment", action="append")
    command.add_argument("--scenario", action="append")
    command.set_defaults(
        run=lambda given: scenarios.measure(
            given.seed, given.deployment, given.scenario
        )
    )
    command = commands.add_parser("processes", help=processes.__doc__)
    command.add_argument("--entries", type=int, default=2)
    command.add_argument("--agents", type=int, default=8)
    command.add_argument("--seed", type=int, default=1)
    command.set_defaults(
        run=lambda given: processes.measure(
            given.entries, given.agents, seed=given.seed
        )
    )
    command = commands.add_parser("all", help="every benchmark")
    command.add_argument("--seed", type=int, default=1)
    command.set_defaults(run=_all)
    parsed = parser.parse_args()
    return asyncio.run(parsed.run(parsed))


if __name__ == "__main__":
    sys.exit(main())
