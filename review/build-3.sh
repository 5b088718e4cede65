#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: they need only what the build of the deploy
# file has put under target/.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps:. python3 -c "import aiohttp, msgspec, standins.platform"
