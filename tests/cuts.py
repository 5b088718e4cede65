"""Plays in which overlapping cuts part entries, and callers leave their entry unseen.

Run by hand: ``python -m tests.cuts --seed 1 --count 60 --cuts 8``.
"""

import argparse
import random
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from tests.play import Faults, Play

ZONES, ENTRIES, AGENTS = 4, 6, 8
FROM_S, UNTIL_S, REST_S = 1.0, 10.0, 16.0
CUT_S = (0.2, 0.6, 1.0, 1.6, 3.0, 5.0)
# Tasks and seconds of work of each kind of job.
JOBS = ((8, 0.12), (3, 1.2), (2, 0.4), (2, 3.0))
LIMIT_S = 9.0


def zone_of(name):
    """Return the number of the zone of a process."""
    return int(name.split("-")[1]) % ZONES


def random_cut(rng):
    """Return a function of a sender and a receiver that says whether they are cut."""
    one_way = rng.random() < 0.3
    if rng.random() < 0.5:
        first, second = rng.sample(range(ZONES), 2)

        def part_zones(sender, receiver):
            zones = zone_of(sender), zone_of(receiver)
            return zones == (first, second) or (
                not one_way and zones == (second, first)
            )

        return part_zones
    entry, near = f"entry-{rng.randrange(ENTRIES)}", rng.random() < 0.5

    def part_entry(sender, receiver):
        if entry not in (sender, receiver) or (one_way and sender != entry):
            return False
        if near:
            return zone_of(sender) != zone_of(receiver)
        return sender.startswith("entry") and receiver.startswith("entry")

    return part_entry


def play_cuts(count, seed):
    """Return the seed and what broke in a play with that many cuts."""
    rng = random.Random(seed)
    cuts = []
    for _ in range(count):
        begins_at = rng.uniform(FROM_S, UNTIL_S)
        cuts.append((begins_at, begins_at + rng.choice(CUT_S), random_cut(rng)))

    def is_cut(sender, receiver, now):
        return any(
            begins_at <= now < ends_at and parts(sender, receiver)
            for begins_at, ends_at, parts in cuts
        )

    faults = Faults(is_cut=is_cut, fail=0.02)
    play = Play(seed=seed, faults=faults).build(ENTRIES, AGENTS, cpu=48_000)
    play.run_until(FROM_S)

    def arrive():
        if play.now < UNTIL_S:
            tasks, work_s = play.rng.choice(JOBS)
            play.hand_in(play.rng.randrange(3), tasks, work_s, deadline_s=LIMIT_S)
            play.at(play.rng.expovariate(6.0), arrive)

    def leave():
        if play.now < UNTIL_S:
            callers = play.callers.values()
            waiting = [each for each in callers if each.code is None and each.request]
            if waiting:
                play.leave(play.rng.choice(waiting), noticed=False)
            play.at(play.rng.expovariate(2.0), leave)

    play.at(0.0, arrive)
    play.at(0.5, leave)
    play.run_until(UNTIL_S + REST_S)
    return seed, play.broken


def main():
    """Play the seeds that the command line asks for; print what broke."""
    parser = argparse.ArgumentParser(prog="tests.cuts", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--cuts", type=int, default=8)
    parser.add_argument("--jobs", type=int, default=2)
    parsed = parser.parse_args()
    seeds = range(parsed.seed, parsed.seed + parsed.count)
    with ProcessPoolExecutor(parsed.jobs) as pool:
        plays = pool.map(partial(play_cuts, parsed.cuts), seeds)
        broken = {seed: found for seed, found in plays if found}
    for seed, found in broken.items():
        print(f"seed {seed}: {len(found)} broken, first {found[0]}")
    print(f"{len(broken)} of {parsed.count} plays with a broken promise")


if __name__ == "__main__":
    main()
