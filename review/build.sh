#!/bin/sh
# Checks the stand-ins that the scripts start. They are Python modules and need no build:
# the project's own in standins/, and site.py, relay.py and cancels.py here. Their packages
# come with the build of the deploy file, in target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 python3 -S -c \
    "import aiohttp, standins.platform, review.site, review.relay, review.cancels"
