"""The census: who joins, leaves or is lost, by what one entry has heard."""

from ragwortlug.view.membership import MembershipTracker
from ragwortlug.view.note import Configuration, DataCentre
from ragwortlug.view.roster import Member, Roster, RosterChange, apply_roster_change

LOST_AFTER_S = 3.0
CONFIGURATION = Configuration(data_centres=(DataCentre("patan"),))


def member(name, role="agent", **fields):
    return Member(name, role, f"tcp://127.0.0.1:{hash(name) % 999}", "patan", **fields)


ENTRY = member("entry-a/0", "entry")
AGENTS = tuple(member(f"agent-{each}/0") for each in range(4))
ROSTER = Roster(1, (ENTRY, *AGENTS))


def census_of(own="entry-a"):
    return MembershipTracker(own, LOST_AFTER_S)


class TestLost:
    def test_silent_agent_is_lost(self):
        membership = census_of()
        for now in range(10):
            for each in (ENTRY, *AGENTS[1:]):
                membership.on_heartbeat(each, float(now))
            lost = membership.detect_changes(ROSTER, CONFIGURATION, float(now)).lost
            assert lost == ((AGENTS[0].name,) if now > LOST_AFTER_S else ())

    def test_entry_new_to_the_roster_gives_agents_time_to_find_it(self):
        membership = census_of()
        agents_only = Roster(1, AGENTS)
        for now in range(5):
            membership.on_heartbeat(ENTRY, float(now))
            assert (
                membership.detect_changes(agents_only, CONFIGURATION, float(now)).lost
                == ()
            )
        membership.on_heartbeat(ENTRY, 5.0)
        assert membership.detect_changes(ROSTER, CONFIGURATION, 5.0).lost == ()

    def test_agent_new_to_the_roster_has_time_to_find_the_entry(self):
        membership = census_of()
        for now in range(8):
            for each in (ENTRY, *AGENTS):
                membership.on_heartbeat(each, float(now))
            membership.detect_changes(ROSTER, CONFIGURATION, float(now))
        newcomer = member("agent-9/0")
        roster = Roster(2, (*ROSTER.members, newcomer))
        assert membership.detect_changes(roster, CONFIGURATION, 8.0).lost == ()

    def test_departed_stay_is_not_lost_while_its_process_speaks_for_the_next(self):
        membership = census_of()
        departed = member("agent-7/0", until_ms=5)
        roster = Roster(2, (*ROSTER.members, departed))
        for now in range(10):
            for each in (*ROSTER.members, member("agent-7/1")):
                membership.on_heartbeat(each, float(now))
            assert (
                membership.detect_changes(roster, CONFIGURATION, float(now)).lost == ()
            )

    def test_entry_that_hears_too_few_says_nothing(self):
        membership = census_of()
        membership.detect_changes(ROSTER, CONFIGURATION, 0.0)
        membership.on_heartbeat(ENTRY, 10.0)
        membership.on_heartbeat(AGENTS[0], 10.0)
        assert membership.detect_changes(ROSTER, CONFIGURATION, 10.0).lost == ()


class TestJoinAndLeave:
    def test_member_heard_of_joins(self):
        membership = census_of()
        membership.on_heartbeat(AGENTS[0], 0.0)
        assert membership.detect_changes(Roster(), CONFIGURATION, 0.1).joining == (
            AGENTS[0],
        )

    def test_agent_of_a_data_centre_taken_out_leaves_and_does_not_join(self):
        out = Configuration(data_centres=(DataCentre("patan", False),))
        membership = census_of()
        membership.on_heartbeat(AGENTS[0], 0.0)
        assert membership.detect_changes(Roster(), out, 0.1).joining == ()
        assert set(membership.detect_changes(ROSTER, out, 0.1).departing) == {
            each.name for each in AGENTS
        }

    def test_handing_over_counts_for_every_stay_of_the_process(self):
        stays = (
            member("agent-0/0", until_ms=5, lost=False),
            member("agent-0/1", until_ms=9),
        )
        membership = census_of()
        membership.on_heartbeat(stays[1], 0.0, leaving=True, handed_over=True)
        change = membership.detect_changes(Roster(1, stays), CONFIGURATION, 0.1)
        assert set(change.handed_over) == {"agent-0/0", "agent-0/1"}


class TestChanged:
    def test_nothing_to_change_gives_the_same_roster(self):
        assert apply_roster_change(ROSTER, RosterChange(), 100, 0) is ROSTER

    def test_first_agents_are_home_for_every_birth_and_later_ones_from_the_cutoff(self):
        first = apply_roster_change(
            Roster(), RosterChange(joining=(AGENTS[0],)), 100, 0
        )
        then = apply_roster_change(first, RosterChange(joining=(AGENTS[1],)), 200, 0)
        assert [each.since_ms for each in then.members] == [0, 200]
        assert then.version == 2

    def test_departed_members_are_dropped_after_the_window(self):
        gone = apply_roster_change(ROSTER, RosterChange(lost=(AGENTS[0].name,)), 100, 0)
        assert gone.find_member(AGENTS[0].name).until_ms == 100
        later = apply_roster_change(gone, RosterChange(), 900, 101)
        assert later.find_member(AGENTS[0].name) is None
