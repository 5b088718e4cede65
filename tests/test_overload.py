"""An entry's processor under more requests than it can handle.

A first-in-first-out event loop is played: each job costs processor time when it comes
and once more when its tasks end, a refusal costs a tenth, and ticks wait in the same
line. What counts is what callers get.
"""

import heapq
import random
from collections import deque

import pytest

from ragwortlug.policy.overload import MAX_ROUND_TRIP_S, LoadShedder

TICK_S = 0.05
SUBMIT_S, ENDS_S, REFUSAL_S = 0.0015, 0.0025, 0.0004
CAPACITY_PER_S = 1 / (SUBMIT_S + ENDS_S)
RUN_S = 0.12
OBJECTIVE_S = 0.25
LENGTH_S = 10.0


class Loop:
    """Plays one event loop; counts callers by what they got."""

    def __init__(self, load, gated=True, paused_s=0.0, seed=1):
        self.rng = random.Random(seed)
        self.rate = load * CAPACITY_PER_S
        self.overload = LoadShedder(TICK_S)
        self.gated = gated
        self.now = 0.0
        self.in_time = self.late = self.refused = 0
        self.saturated_at = None
        self._events = []
        self._order = 0
        self._line = deque()
        self._busy = False
        self._at(0.0, self._tick)
        self._at(0.0, self._arrive)
        if paused_s:
            self._at(5.0, lambda: self._enter(lambda: (paused_s, None)))

    def play(self):
        """Play to the end, with what is left then."""
        while self._events:
            self.now, _, act = heapq.heappop(self._events)
            act()
        return self

    def _at(self, at_s, act):
        """Let something happen later."""
        self._order += 1
        heapq.heappush(self._events, (at_s, self._order, act))

    def _enter(self, work):
        """Let some work wait in line; it returns its cost and what follows."""
        self._line.append(work)
        if not self._busy:
            self._serve()

    def _serve(self):
        """Begin what is first in line."""
        self._busy = bool(self._line)
        if self._busy:
            cost_s, then = self._line.popleft()()
            self._at(self.now + cost_s, lambda: self._served(then))

    def _served(self, then):
        """End one piece of work and begin the next."""
        if then is not None:
            then()
        self._serve()

    def _tick(self):
        """Take note of a tick, and plan the next one."""

        def work():
            self.overload.on_tick(self.now)
            if self.overload.saturated and self.saturated_at is None:
                self.saturated_at = self.now
            if self.now < LENGTH_S:
                self._at(self.now + TICK_S, self._tick)
            return 0.0, None

        self._enter(work)

    def _arrive(self):
        """Hand one job in, and plan the next one."""
        if self.now < LENGTH_S:
            came = self.now
            self._at(came + self.rng.expovariate(self.rate), self._arrive)
            self._enter(lambda: self._decide(came))

    def _decide(self, came):
        """Refuse a job or begin it."""
        if self.gated and not self.overload.admit(1):
            self.refused += 1
            return REFUSAL_S, None

        def end():
            self._enter(lambda: (ENDS_S, lambda: self._answer(came)))

        return SUBMIT_S, lambda: self._at(self.now + RUN_S, end)

    def _answer(self, came):
        """Count a job that has its answer."""
        if self.now - came <= OBJECTIVE_S:
            self.in_time += 1
        else:
            self.late += 1


class TestOverload:
    @pytest.mark.parametrize("load", [1.2, 1.5, 2.0, 3.0])
    def test_what_the_processor_can_carry_is_served_in_time(self, load):
        ours = Loop(load).play()
        theirs = Loop(load, gated=False).play()
        assert ours.in_time > 4 * theirs.in_time
        carried = (LENGTH_S - ours.refused * REFUSAL_S) * CAPACITY_PER_S
        assert ours.in_time > 0.75 * carried
        assert ours.late < ours.in_time / 4

    @pytest.mark.parametrize("load", [0.3, 0.6, 0.8])
    def test_nobody_is_refused_below_it(self, load):
        loop = Loop(load).play()
        assert loop.refused == 0
        assert loop.saturated_at is None

    def test_after_a_pause_no_fewer_are_served_in_time(self):
        ours = Loop(0.5, paused_s=1.0).play()
        theirs = Loop(0.5, gated=False, paused_s=1.0).play()
        assert ours.in_time >= theirs.in_time

    def test_callers_are_sent_elsewhere_within_the_balancers_second(self):
        loop = Loop(2.0).play()
        assert loop.saturated_at is not None
        assert loop.saturated_at < 2.0

    def test_callers_may_come_again_when_it_is_over(self):
        overload = LoadShedder(TICK_S)
        now = 0.0
        for _ in range(40):
            now += TICK_S + 0.1
            overload.on_tick(now)
            overload.admit(5)
        assert overload.saturated
        for _ in range(int(4.0 / TICK_S)):
            now += TICK_S
            overload.admit(1)
            overload.on_tick(now)
        assert overload.limit_per_s is None
        assert not overload.saturated


class TestRoundTrips:
    """An entry whose messages wait for its link, while its ticks are on time."""

    def test_long_round_trips_limit_what_is_admitted(self):
        shedder = LoadShedder(TICK_S)
        limits = []
        for step in range(20):
            shedder.admit(10)
            shedder.on_tick(step * TICK_S, 0.3)
            limits.append(shedder.limit_per_s)
        assert limits[0] is None
        assert limits[-1] is not None
        assert not shedder.admit(1)

    def test_usual_round_trips_limit_nothing(self):
        shedder = LoadShedder(TICK_S)
        for step in range(20):
            assert shedder.admit(10)
            shedder.on_tick(step * TICK_S, MAX_ROUND_TRIP_S)
        assert shedder.limit_per_s is None
