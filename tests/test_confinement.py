"""Which workers run tasks that may crash them."""

import random

import msgspec
import pytest

from ragwortlug.envelope import Peer
from ragwortlug.lease_messages import Renewal
from ragwortlug.lease_settings import RestartSettings
from ragwortlug.policy.confinement import MAX_DOWNTIME_S, Confinement
from ragwortlug.policy.known_workers import KnownWorkers
from ragwortlug.restartable_model import Resources, WorkerState

ROOM = Resources(64_000, 1000, 0)
STATE = WorkerState("carving", "patan", (), ROOM, ROOM, True)
ENTRIES = ("tcp://10.0.0.1:1", "tcp://10.0.0.2:1", "tcp://10.0.0.3:1")


def renew(workers, number, now, accepting=True):
    """Renew one agent."""
    peer = Peer(f"tcp://10.1.0.{number}:1", f"agent-{number}")
    state = msgspec.structs.replace(STATE, accepting=accepting)
    workers.on_renewal(peer, Renewal(int(now * 1000), state), now)


def workers_of(count):
    """Return that many known workers, all up at second 0."""
    workers = KnownWorkers(RestartSettings(), random.Random(1))
    for number in range(count):
        renew(workers, number, 0.0)
    return workers


def confinements(workers):
    """Return the view of each of three dispatchers that know the same workers."""
    found = []
    for entry in ENTRIES:
        confinement = Confinement(workers)
        confinement.set_dispatchers(ENTRIES, entry)
        found.append(confinement)
    return found


class TestConfinement:
    def test_dispatchers_divide_the_workers_and_know_all_of_them(self):
        views = confinements(workers_of(11))
        own = [view.own_workers("carving", 0.0) for view in views]
        shared = views[0].workers_of_all("carving", 0.0)
        assert [len(each) for each in own] == [1, 1, 1]
        assert {id(worker) for each in own for worker in each} == set(map(id, shared))

    def test_the_number_grows_with_the_fleet(self):
        views = confinements(workers_of(48))
        assert len(views[0].own_workers("carving", 0.0)) == 4
        assert len(views[0].workers_of_all("carving", 0.0)) == 12

    @pytest.mark.parametrize(("count", "shared"), [(1, 0), (2, 1), (4, 2)])
    def test_at_most_half_of_the_workers_are_used(self, count, shared):
        view = confinements(workers_of(count))[2]
        assert len(view.workers_of_all("carving", 0.0)) == shared
        assert len(view.own_workers("carving", 0.0)) == min(shared, 1)

    def test_a_worker_that_is_down_is_not_replaced_before_it_is_given_up(self):
        workers = workers_of(11)
        view = confinements(workers)[0]
        (first,) = view.own_workers("carving", 0.0)
        number = int(first.peer.incarnation.removeprefix("agent-"))
        renew(workers, number, 1.0, accepting=False)
        assert view.own_workers("carving", 2.0) == [first]
        later = 1.5 + MAX_DOWNTIME_S
        assert view.own_workers("carving", later) != [first]

    def test_the_wait_for_a_worker_is_learned_from_downtimes(self):
        workers = workers_of(11)
        view = confinements(workers)[0]
        (first,) = view.own_workers("carving", 0.0)
        number = int(first.peer.incarnation.removeprefix("agent-"))
        renew(workers, number, 1.0, accepting=False)
        assert view.wait_s("carving", 2.0) == 0.0
        renew(workers, number, 4.0)
        renew(workers, number, 5.0, accepting=False)
        assert view.wait_s("carving", 6.0) == pytest.approx(2.0)

    def test_an_evacuated_data_centre_has_no_such_workers(self):
        workers = workers_of(11)
        workers.evacuated = frozenset({"patan"})
        assert confinements(workers)[0].workers_of_all("carving", 0.0) == []
