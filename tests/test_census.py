"""The census: who joins, leaves or is lost, by what one entry has heard."""

from ragwortlug.view.census import Census
from ragwortlug.view.note import Configuration, DataCentre
from ragwortlug.view.roster import Member, Roster, RosterChange, changed

LOST_AFTER_S = 3.0
CONFIGURATION = Configuration(data_centres=(DataCentre("patan"),))


def member(name, role="agent", **fields):
    return Member(name, role, f"tcp://127.0.0.1:{hash(name) % 999}", "patan", **fields)


ENTRY = member("entry-a/0", "entry")
AGENTS = tuple(member(f"agent-{each}/0") for each in range(4))
ROSTER = Roster(1, (ENTRY, *AGENTS))


def census_of(own="entry-a"):
    return Census(own, LOST_AFTER_S)


class TestLost:
    def test_silent_agent_is_lost(self):
        census = census_of()
        for now in range(10):
            for each in (ENTRY, *AGENTS[1:]):
                census.hear(each, float(now))
            lost = census.change(ROSTER, CONFIGURATION, float(now)).lost
            assert lost == ((AGENTS[0].name,) if now > LOST_AFTER_S else ())

    def test_entry_new_to_the_roster_gives_agents_time_to_find_it(self):
        census = census_of()
        agents_only = Roster(1, AGENTS)
        for now in range(5):
            census.hear(ENTRY, float(now))
            assert census.change(agents_only, CONFIGURATION, float(now)).lost == ()
        census.hear(ENTRY, 5.0)
        assert census.change(ROSTER, CONFIGURATION, 5.0).lost == ()

    def test_agent_new_to_the_roster_has_time_to_find_the_entry(self):
        census = census_of()
        for now in range(8):
            for each in (ENTRY, *AGENTS):
                census.hear(each, float(now))
            census.change(ROSTER, CONFIGURATION, float(now))
        newcomer = member("agent-9/0")
        roster = Roster(2, (*ROSTER.members, newcomer))
        assert census.change(roster, CONFIGURATION, 8.0).lost == ()

    def test_departed_stay_is_not_lost_while_its_process_speaks_for_the_next(self):
        census = census_of()
        departed = member("agent-7/0", until_ms=5)
        roster = Roster(2, (*ROSTER.members, departed))
        for now in range(10):
            for each in (*ROSTER.members, member("agent-7/1")):
                census.hear(each, float(now))
            assert census.change(roster, CONFIGURATION, float(now)).lost == ()

    def test_entry_that_hears_too_few_says_nothing(self):
        census = census_of()
        census.change(ROSTER, CONFIGURATION, 0.0)
        census.hear(ENTRY, 10.0)
        census.hear(AGENTS[0], 10.0)
        assert census.change(ROSTER, CONFIGURATION, 10.0).lost == ()


class TestJoinAndLeave:
    def test_member_heard_of_joins(self):
        census = census_of()
        census.hear(AGENTS[0], 0.0)
        assert census.change(Roster(), CONFIGURATION, 0.1).joining == (AGENTS[0],)

    def test_agent_of_a_data_centre_taken_out_leaves_and_does_not_join(self):
        out = Configuration(data_centres=(DataCentre("patan", False),))
        census = census_of()
        census.hear(AGENTS[0], 0.0)
        assert census.change(Roster(), out, 0.1).joining == ()
        assert set(census.change(ROSTER, out, 0.1).departing) == {
            each.name for each in AGENTS
        }

    def test_handing_over_counts_for_every_stay_of_the_process(self):
        stays = (
            member("agent-0/0", until_ms=5, lost=False),
            member("agent-0/1", until_ms=9),
        )
        census = census_of()
        census.hear(stays[1], 0.0, leaving=True, handed_over=True)
        change = census.change(Roster(1, stays), CONFIGURATION, 0.1)
        assert set(change.handed_over) == {"agent-0/0", "agent-0/1"}


class TestChanged:
    def test_nothing_to_change_gives_the_same_roster(self):
        assert changed(ROSTER, RosterChange(), 100, 0) is ROSTER

    def test_first_agents_are_home_for_every_birth_and_later_ones_from_the_cutoff(self):
        first = changed(Roster(), RosterChange(joining=(AGENTS[0],)), 100, 0)
        then = changed(first, RosterChange(joining=(AGENTS[1],)), 200, 0)
        assert [each.since_ms for each in then.members] == [0, 200]
        assert then.version == 2

    def test_departed_members_are_dropped_after_the_window(self):
        gone = changed(ROSTER, RosterChange(lost=(AGENTS[0].name,)), 100, 0)
        assert gone.named(AGENTS[0].name).until_ms == 100
        later = changed(gone, RosterChange(), 900, 101)
        assert later.named(AGENTS[0].name) is None
