"""Which dispatchers an agent asks for permissions."""

from collections import Counter

from ragwortlug.envelope import Peer
from ragwortlug.jobs.dispatchers import ANSWER_TIMEOUT_S, Dispatchers
from ragwortlug.lease_settings import RestartSettings
from ragwortlug.policy.known_workers import REPEAT_INTERVAL_S, KnownWorker

SETTINGS = RestartSettings(dispatchers=3)
IDLE_S = SETTINGS.idle_renew_ms / 1000.0
BUSY_S = SETTINGS.renew_ms / 1000.0


def addresses(count):
    """Return addresses of dispatchers."""
    return [f"tcp://10.0.0.{each}:7720" for each in range(count)]


def known(count, own="tcp://10.1.0.1:7720"):
    """Return what an agent knows that has met some dispatchers."""
    dispatchers = Dispatchers(own, SETTINGS)
    dispatchers.add_addresses(addresses(count))
    return dispatchers


def converse(dispatchers, now, silent=(), busy=frozenset()):
    """Ask whoever is due; all but the silent answer. Return who was asked."""
    due = dispatchers.due_for_renewal(busy, now)
    for address in due:
        dispatchers.record_request(address, now)
        if address not in silent:
            dispatchers.on_renewed(address, int(now * 1000), now)
    return due


class TestDispatchers:
    """The dispatchers that one agent knows."""

    def test_few_are_all_asked(self):
        assert sorted(converse(known(3), 10.0)) == addresses(3)

    def test_of_many_some_are_asked(self):
        dispatchers = known(40)
        asked = {
            each for step in range(20) for each in converse(dispatchers, step * IDLE_S)
        }
        assert len(asked) == 3

    def test_agents_spread_evenly(self):
        load = Counter()
        for number in range(300):
            dispatchers = known(20, f"tcp://10.1.{number % 7}.{number}:7720")
            load.update(dispatchers.selected(0.0))
        # 300 agents with 3 each: 45 a dispatcher on average.
        assert len(load) == 20
        assert max(load.values()) < 2 * 45

    def test_another_one_stands_in_for_a_silent_one(self):
        dispatchers = known(40)
        silent = converse(dispatchers, 10.0)[0]
        now = 10.0
        for _ in range(4):
            now += IDLE_S
            converse(dispatchers, now, {silent})
        kept = dispatchers.selected(now)
        assert silent in kept
        assert len(kept) == 4
        dispatchers.on_renewed(silent, int(now * 1000), now)
        assert len(dispatchers.selected(now)) == 3

    def test_one_that_was_not_asked_is_not_silent(self):
        dispatchers = known(40)
        for step in range(100):
            converse(dispatchers, step * IDLE_S)
        assert len(dispatchers.selected(100 * IDLE_S)) == 3

    def test_a_busy_one_is_asked_more_often_whatever_its_rank(self):
        dispatchers = known(40)
        low = next(x for x in addresses(40) if x not in dispatchers.selected(0.0))
        counts = Counter()
        step_s = 0.01
        for step in range(1000):
            counts.update(converse(dispatchers, step * step_s, busy={low}))
        del counts[low]
        assert low not in dispatchers.selected(1000 * step_s)
        idle = max(counts.values())
        again = Counter()
        for step in range(1000, 2000):
            again.update(converse(dispatchers, step * step_s, busy={low}))
        assert again[low] > idle

    def test_a_silent_one_gets_new_connections(self):
        dispatchers = known(1)
        address = addresses(1)[0]
        now = 5.0
        renewed = []
        while now < 5.0 + 4 * ANSWER_TIMEOUT_S:
            renewed.append(dispatchers.record_request(address, now))
            now += BUSY_S
        assert 2 <= sum(renewed) <= 4
        dispatchers.on_renewed(address, int(now * 1000), now)
        assert not dispatchers.record_request(address, now + 0.01)

    def test_requests_that_waited_for_a_connection_give_no_round_trip(self):
        dispatchers = known(1)
        (address,) = addresses(1)
        dispatchers.on_renewed(address, 5_000, 5.4)
        assert dispatchers.round_trip_ms(address) == 0
        dispatchers.on_renewed(address, 5_200, 5.41)
        assert dispatchers.round_trip_ms(address) == 0
        dispatchers.on_renewed(address, 5_500, 5.75)
        assert dispatchers.round_trip_ms(address) == 250
        dispatchers.on_renewed(address, 6_000, 7.5)
        assert dispatchers.round_trip_ms(address) == 0

    def test_one_that_is_gone_is_forgotten(self):
        dispatchers = known(4)
        gone = converse(dispatchers, 0.0)[0]
        for step in range(1, 300):
            converse(dispatchers, step * IDLE_S, {gone})
        assert gone not in dispatchers.selected(300 * IDLE_S)
        assert dispatchers.last_renewal_at > 0.0


class TestEntriesTold:
    """What an entry tells an agent of the other entries."""

    def test_when_they_change_and_after_a_while(self):
        worker = KnownWorker(Peer("tcp://10.1.0.1:7720", "agent"), None, 0, 1.0, 1.0)
        two, three = tuple(addresses(2)), tuple(addresses(3))
        assert worker.entries_to_send(two, 1.0) == two
        assert worker.entries_to_send(two, 1.25) == ()
        assert worker.entries_to_send(three, 1.5) == three
        assert worker.entries_to_send(three, 1.75) == ()
        assert worker.entries_to_send(three, 1.5 + REPEAT_INTERVAL_S) == three
