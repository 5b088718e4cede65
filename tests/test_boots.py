"""Plays of workers that boot again under the same id at once."""

import dataclasses
import itertools

import pytest

from ragwortlug.codes import Code
from tests.fake_worker import SERVICE
from tests.play import Faults, Play
from tests.test_restartable import assert_sound

FROM_S = 1.0
UNTIL_S = 9.0
REST_S = 9.0


def play_with(seed, faults, disturb, pause_s, kinds=((SERVICE, ()),), slow_s=0.0):
    """Return a play in which one of five workers after the other is disturbed.

    Parameters
    ----------
    disturb : callable
        Called with the play and an agent, about every `pause_s` seconds.
    kinds : tuple of (str, tuple of str)
        Services and labels that the workers' boots have in turn. Jobs require the
        labels in turn.
    slow_s : float
        How late the first entry handles each message, in seconds.
    """
    play = Play(seed=seed, faults=faults, kinds=kinds).build(3, 5, cpu=32_000)
    if slow_s:
        play.slow_down(play.homes[0], slow_s)
    required = itertools.cycle(
        [label for _, labels in kinds for label in labels or [""]]
    )
    play.run_until(0.5)

    def arrive():
        if play.now < UNTIL_S:
            tasks, work_s = ((8, 0.12), (3, 0.9), (2, 0.4))[play.rng.randrange(3)]
            play.hand_in(
                play.rng.randrange(3),
                tasks,
                work_s,
                deadline_s=6.0,
                label=next(required),
            )
            play.at(play.rng.expovariate(9.0), arrive)

    def disturb_one():
        if play.now < UNTIL_S:
            disturb(play, play.rng.choice(play.agents))
            play.at(play.rng.uniform(0.5, 1.5) * pause_s, disturb_one)

    play.at(0.0, arrive)
    play.at(FROM_S, disturb_one)
    play.run_until(UNTIL_S + REST_S)
    return play


def served(play):
    """Return the share of the callers whose job was done."""
    done = sum(1 for each in play.callers.values() if each.code is Code.OK)
    return done / len(play.callers)


def boot_again(play, agent):
    """Let a worker crash and boot again before its agent can notice."""
    if agent.worker.up:
        play.crash_worker(agent, play.rng.choice((0.0, 0.001, 0.01, 0.04)))


def refuse(play, agent):
    """Let a worker that runs on refuse connections for a while."""
    agent.worker.refuses_until = play.now + play.rng.choice((0.02, 0.2, 0.8, 1.5))


def depart(play, agent):
    """Let a worker announce its end, run on for a moment, and boot again."""
    worker = agent.worker
    if not worker.up:
        return
    boot, born_ms = worker.boots, worker.report().booted_at_ms
    agent.run(lambda _: agent.runner.on_departed(worker.name, born_ms))

    def end():
        if worker.up and worker.boots == boot:
            play.crash_worker(agent, 0.3)

    play.at(play.rng.uniform(0.0, 2.0), end)


class TestDepartures:
    """A worker that announced its end may run on for a moment."""

    @pytest.mark.parametrize("seed", range(6))
    def test_a_task_never_has_two_runs(self, seed):
        assert_sound(play_with(seed, Faults(no_answer=0.02), depart, 0.5))


def mute(play, agent):
    """Let a worker leave commands without an answer for a while."""
    agent.worker.mute_until = play.now + play.rng.choice((0.1, 0.5, 1.0, 1.5))


class TestSilence:
    """Commands without an answer may be carried out seconds later."""

    @pytest.mark.parametrize("seed", range(12))
    def test_a_task_never_has_two_runs(self, seed):
        assert_sound(play_with(seed, Faults(late_s=3.0), mute, 0.4))


class TestRefusedConnections:
    """A refused connection does not prove that the worker's process ended."""

    @pytest.mark.parametrize("seed", range(12))
    def test_a_task_never_has_two_runs(self, seed):
        play = play_with(seed, Faults(no_answer=0.02), refuse, 0.4)
        assert_sound(play)


class TestBootsUnderTheSameId:
    """Commands on their way may reach the next boot."""

    @pytest.mark.parametrize("seed", range(12))
    def test_a_task_never_has_two_runs(self, seed):
        play = play_with(seed, Faults(travel_s=0.04), boot_again, 0.3)
        assert_sound(play)
        assert served(play) > 0.7

    @pytest.mark.parametrize("seed", range(12))
    def test_beside_lost_answers(self, seed):
        faults = Faults(travel_s=0.04, no_answer=0.1, late_s=0.5)
        assert_sound(play_with(seed, faults, boot_again, 0.3))


def delay_report(play, agent):
    """Let a worker's report arrive after its next boot; its clock was ahead."""
    worker = agent.worker
    if not worker.up:
        return
    report = worker.report()
    former = dataclasses.replace(report, booted_at_ms=report.booted_at_ms + 60_000)
    boot_again(play, agent)
    play.at(
        play.rng.uniform(0.1, 0.6),
        lambda: agent.run(lambda now: agent.runner.on_report(former, now)),
    )


class TestDelayedReports:
    """A report of a former boot may arrive late, and boots aren't ordered by clocks."""

    @pytest.mark.parametrize("seed", range(8))
    def test_a_task_never_has_two_runs(self, seed):
        play = play_with(seed, Faults(travel_s=0.01), delay_report, 0.3)
        assert_sound(play)
        assert served(play) > 0.7


class TestBootsOfAnotherKind:
    """A worker may boot again with another label, or for another service."""

    FAULTS = Faults(travel_s=0.04, reaches_next_boot=False)

    @pytest.mark.parametrize("seed", range(12))
    def test_a_task_starts_only_where_its_label_is(self, seed):
        """Guards against a start on a later boot that lacks the required label."""
        kinds = ((SERVICE, ("a",)), (SERVICE, ("b",)))
        assert_sound(play_with(seed, self.FAULTS, boot_again, 0.1, kinds, 0.03))

    @pytest.mark.parametrize("seed", range(12))
    def test_a_task_starts_only_at_its_service(self, seed):
        """Guards against a start on a later boot that belongs to another service."""
        kinds = ((SERVICE, ()), ("other", ()))
        assert_sound(play_with(seed, self.FAULTS, boot_again, 0.1, kinds, 0.03))
