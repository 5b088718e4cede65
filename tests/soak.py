"""Long randomised runs: ``make soak SEED=1 MINUTES=10``.

Each run of the state machine has a seed of its own, counted up from the first;
a violation prints its seed and ends the soak with exit code 1.
"""

import argparse
import json
import sys
import time

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.test_machine import Failures

EXAMPLES = 40
STEPS = 150


class Tally:
    """What a soak has done."""

    def __init__(self):
        self.runs = 0
        self.steps = 0
        self.starts = 0

    def machine(self, number):
        """Return a machine class that counts into this tally."""
        tally = self

        class Counted(Failures):
            """The machine, counted."""

            def check_invariants(self, *arguments, **named):
                tally.steps += 1
                return super().check_invariants(*arguments, **named)

            def teardown(self):
                tally.runs += 1
                tally.starts += sum(self.world.starts.values())

        return seed(number)(Counted)


def soak(first_seed, minutes):
    """Run until the time is up; return the exit code."""
    until = time.monotonic() + minutes * 60
    tally = Tally()
    number = first_seed
    options = settings(
        max_examples=EXAMPLES,
        stateful_step_count=STEPS,
        deadline=None,
        database=None,
        phases=[Phase.generate],
        report_multiple_bugs=False,
        suppress_health_check=list(HealthCheck),
    )
    while time.monotonic() < until:
        print(f"seed {number}", flush=True)
        try:
            run_state_machine_as_test(tally.machine(number), settings=options)
        except Exception as error:
            print(f"violation with seed {number}: {error}")
            _report(tally, number, 1)
            return 1
        number += 1
    _report(tally, number - 1, 0)
    return 0


def _report(tally, last_seed, violations):
    """Print what was done as a line of JSON."""
    line = {
        "soak": "machine",
        "last_seed": last_seed,
        "runs": tally.runs,
        "steps": tally.steps,
        "starts": tally.starts,
        "violations": violations,
    }
    print(json.dumps(line))


def main():
    """Run the soak that the command line describes."""
    parser = argparse.ArgumentParser(prog="soak")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=1.0)
    parsed = parser.parse_args()
    return soak(parsed.seed, parsed.minutes)


if __name__ == "__main__":
    sys.exit(main())
