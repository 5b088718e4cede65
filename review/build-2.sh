#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start. The deploy file's
# build comes first; it provides target/deps, which the stand-ins use.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps python3 -m compileall -q standins review/rig.py review/partition.py review/rig_worker.py &&
PYTHONPATH=target/deps python3 -c "import review.rig"
