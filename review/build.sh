#!/bin/sh
# Prepares the stand-ins that the scripts start. They are Python modules, the project's
# own in standins/ and those of the review in review/lib/, and use the packages that the
# build of the deploy file has put into target/deps.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps
python3 -S -m compileall -q standins review/lib
python3 -S -c "import aiohttp, standins.platform, review.lib.site"
