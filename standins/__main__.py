"""Runs a stand-in as a process, or the demo: ``python -m standins NAME``."""

import argparse
import asyncio
import json
import signal
import sys

from standins.demo import run_demo
from standins.deployments import write_examples
from standins.store import StoreStandin
from standins.target import TargetStandin


async def _until_signal():
    """Wait for SIGTERM or SIGINT."""
    asked = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, asked.set)
    await asked.wait()


async def _store(parsed):
    standin = StoreStandin()
    await standin.start("127.0.0.1", parsed.port)
    await _until_signal()
    await standin.stop()


async def _target(parsed):
    url = f"http://127.0.0.1:{parsed.port}"
    standin = TargetStandin(url, parsed.agent, json.loads(parsed.capacity))
    await standin.start("127.0.0.1", parsed.port, bool(parsed.agent))
    await _until_signal()
    await standin.stop()


async def _examples(parsed):
    write_examples(parsed.folder)


def main():
    """Run the stand-in that the command line names."""
    parser = argparse.ArgumentParser(prog="standins")
    commands = parser.add_subparsers(required=True)
    store = commands.add_parser("store")
    store.add_argument("--port", type=int, required=True)
    store.set_defaults(run=_store)
    target = commands.add_parser("target")
    target.add_argument("--port", type=int, required=True)
    target.add_argument("--agent", default="", help="the agent's URL")
    target.add_argument("--capacity", default="{}", help="JSON")
    target.set_defaults(run=_target)
    demo = commands.add_parser("demo")
    demo.set_defaults(run=lambda _: run_demo())
    examples = commands.add_parser("examples")
    examples.add_argument("--folder", default="examples")
    examples.set_defaults(run=_examples)
    parsed = parser.parse_args()
    return asyncio.run(parsed.run(parsed))


if __name__ == "__main__":
    sys.exit(main())
