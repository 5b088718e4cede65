"""Views, homes and vouching: freshness, ownership and announced changes."""

from ragwortlug.model import new_job_id
from ragwortlug.view.homes import HomeMap, bucket_of
from ragwortlug.view.note import Configuration, DataCentre, Service
from ragwortlug.view.quorum import MAX_PENDING, QuorumTracker, majority
from ragwortlug.view.roster import Member, Roster
from ragwortlug.view.view import Change, Versions, View

SERVICE = "mould-carving"


def configuration(version, in_service=True):
    centres = (DataCentre("patan", in_service),)
    return Configuration(version, "", (Service(SERVICE, ("patan",)),), (), centres)


def agent(index, **fields):
    return Member(f"agent-{index}/0", "agent", f"tcp://a:{index}", "patan", **fields)


def entry(index):
    return Member(f"entry-{index}/0", "entry", f"tcp://e:{index}", "patan")


def ids(count, birth_ms=1000):
    return [new_job_id(birth_ms) for _ in range(count)]


class TestFreshness:
    def test_age_counts_from_when_it_was_asked(self):
        view = View(confirm_s=2.0, skew_ms=250)
        view.update_configuration(configuration(1))
        assert not view.is_confirmed(0.0)
        view.confirm(Versions(1, 0), asked_at=10.0, age_s=0.5)
        assert view.permits_start(SERVICE, "patan", 11.4)
        assert not view.permits_start(SERVICE, "patan", 11.5)

    def test_word_of_something_newer_confirms_nothing(self):
        view = View(confirm_s=2.0, skew_ms=250)
        view.confirm(Versions(3, 0), asked_at=1.0, age_s=0.0)
        assert not view.is_confirmed(1.0)

    def test_older_versions_are_not_taken(self):
        view = View(confirm_s=2.0, skew_ms=250)
        assert view.update_configuration(configuration(2, in_service=False))
        assert not view.update_configuration(configuration(1))
        assert not view.configuration.permits(SERVICE, "patan")

    def test_announced_change_restricts_until_it_is_settled(self):
        view = View(confirm_s=2.0, skew_ms=250)
        view.update_configuration(configuration(1))
        view.confirm(Versions(1, 0), 0.0, 0.0)
        view.set_announced_changes((Change(configuration(2, in_service=False)),))
        assert not view.permits_start(SERVICE, "patan", 1.0)
        view.update_configuration(configuration(2))
        assert view.permits_start(SERVICE, "patan", 1.0)


class TestHomes:
    def test_join_moves_no_id_that_was_born_before(self):
        before = Roster(1, tuple(agent(each) for each in range(5)))
        after = Roster(2, (*before.members, agent(5, since_ms=2000)))
        old, new = HomeMap(before), HomeMap(after)
        assert all(old.home_of(each) == new.home_of(each) for each in ids(200))
        moved = [
            each for each in ids(600, 2000) if new.home_of(each).name == "agent-5/0"
        ]
        assert 50 < len(moved) < 150

    def test_heir_does_not_change_with_later_joins(self):
        gone = agent(0, until_ms=5000, handed_over=True)
        stayed = [agent(each) for each in range(1, 4)]
        later = agent(9, since_ms=9000)
        job_ids = [
            each
            for each in ids(200)
            if HomeMap(Roster(1, (gone, *stayed))).home_of(each) == gone
        ]
        for job_id in job_ids:
            heirs = {
                HomeMap(Roster(2, (gone, *members)))
                .successor(gone, bucket_of(job_id))
                .name
                for members in (stayed, [*stayed, later])
            }
            assert len(heirs) == 1

    def test_no_agent_is_no_home(self):
        assert HomeMap(Roster()).home_of(new_job_id()) is None


class TestVouching:
    def test_majority_of_the_entries_vouches(self):
        roster = Roster(1, tuple(entry(each) for each in range(3)))
        quorum = QuorumTracker("entry-0")
        assert quorum.quorum_confirmed_at([roster], 5.0) is None
        quorum.on_poll_answer("entry-1", 4.0)
        assert quorum.quorum_confirmed_at([roster], 5.0) == 4.0

    def test_two_entries_need_each_other_and_one_needs_none(self):
        both = Roster(1, (entry(0), entry(1)))
        assert QuorumTracker("entry-0").quorum_confirmed_at([both], 5.0) is None
        assert (
            QuorumTracker("entry-0").quorum_confirmed_at([Roster(1, (entry(0),))], 5.0)
            == 5.0
        )

    def test_announced_roster_needs_its_own_majority(self):
        old = Roster(1, (entry(0),))
        new = Roster(2, (entry(0), entry(1), entry(2)))
        quorum = QuorumTracker("entry-0")
        assert quorum.quorum_confirmed_at([old, new], 5.0) is None
        quorum.on_poll_answer("entry-2", 3.0)
        assert quorum.quorum_confirmed_at([old, new], 5.0) == 3.0

    def test_stranger_has_no_vote(self):
        roster = Roster(1, (entry(0), entry(1)))
        quorum = QuorumTracker("entry-9")
        quorum.on_poll_answer("entry-0", 4.0)
        quorum.on_poll_answer("entry-1", 4.0)
        assert quorum.quorum_confirmed_at([roster], 5.0) is None

    def test_pending_changes_are_bounded_and_settle(self):
        quorum = QuorumTracker("entry-0")
        for version in range(1, MAX_PENDING + 1):
            assert quorum.add_announced(Change(configuration(version)))
        assert not quorum.add_announced(Change(configuration(99)))
        assert len(quorum.announced_changes(Versions(MAX_PENDING - 1, 0))) == 1

    def test_majority(self):
        assert [majority(each) for each in (1, 2, 3, 4, 5)] == [1, 2, 2, 3, 3]
