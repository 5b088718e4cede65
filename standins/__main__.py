"""Run a stand-in as a process, or the demo: ``python -m standins COMMAND``."""

import argparse
import asyncio
import json
import signal
import sys

from standins.demo import run_demo
from standins.deployments import write_examples
from standins.store import StoreStandin
from standins.target import TargetStandin


async def _wait_for_signal():
    """Wait for SIGTERM or SIGINT."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    await stop_requested.wait()


async def _run_store(arguments):
    standin = StoreStandin()
    await standin.start("127.0.0.1", arguments.port)
    await _wait_for_signal()
    await standin.stop()


async def _run_target(arguments):
    url = f"http://127.0.0.1:{arguments.port}"
    standin = TargetStandin(url, arguments.agent, json.loads(arguments.capacity))
    await standin.start("127.0.0.1", arguments.port, bool(arguments.agent))
    await _wait_for_signal()
    await standin.stop()


async def _write_examples(arguments):
    write_examples(arguments.folder)


def main():
    """Run the command given on the command line and return its result."""
    parser = argparse.ArgumentParser(prog="standins")
    commands = parser.add_subparsers(required=True)
    store = commands.add_parser("store")
    store.add_argument("--port", type=int, required=True)
    store.set_defaults(run=_run_store)
    target = commands.add_parser("target")
    target.add_argument("--port", type=int, required=True)
    target.add_argument("--agent", default="", help="URL of the agent")
    target.add_argument("--capacity", default="{}", help="JSON")
    target.set_defaults(run=_run_target)
    demo = commands.add_parser("demo")
    demo.set_defaults(run=lambda _: run_demo())
    examples = commands.add_parser("examples")
    examples.add_argument("--folder", default="examples")
    examples.set_defaults(run=_write_examples)
    arguments = parser.parse_args()
    return asyncio.run(arguments.run(arguments))


if __name__ == "__main__":
    sys.exit(main())
