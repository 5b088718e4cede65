"""The home, message by message."""

import random

import pytest

from ragwortlug.codes import Code
from ragwortlug.envelope import Peer
from ragwortlug.jobs.home import Home
from ragwortlug.messages import (
    Cancel,
    Finished,
    Grant,
    Handover,
    HandoverTaken,
    Load,
    Probe,
    Pull,
    Refused,
    Reply,
    Stop,
    Submit,
    Waiting,
)
from ragwortlug.model import Job, Task, new_job_id
from ragwortlug.policy.placement import Placement
from ragwortlug.view.roster import Roster, RosterChange, apply_roster_change
from ragwortlug.view.view import View
from tests.world import CAPACITY, EPOCH_MS, POLICY, SERVICE, TEAM, VIEW, configuration
from tests.world import Member as RosterMember

ENTRY = Peer("tcp://entry", "entry-x")
OWN = Peer("tcp://agent-0", "agent-0")
OTHER = Peer("tcp://agent-1", "agent-1")


class Setting:
    """A home with its view, and what it sent last."""

    def __init__(self, agents=2):
        self.now = 1.0
        self.view = View(VIEW.confirm_s, VIEW.skew_ms)
        members = tuple(
            RosterMember(
                f"agent-{each}/0",
                "agent",
                f"tcp://agent-{each}",
                "patan",
                capacity=CAPACITY,
            )
            for each in range(agents)
        )
        self.view.update_configuration(configuration(1))
        self.view.update_roster(Roster(1, members), EPOCH_MS)
        placement = Placement(OWN.incarnation, "patan", 1.0, 3, random.Random(1))
        self.home = Home(OWN, self.view, placement, POLICY, VIEW)
        self.confirm()

    @property
    def now_ms(self):
        return EPOCH_MS + int(self.now * 1000)

    def confirm(self):
        self.view.confirm(self.view.versions, self.now, 0.0)

    def job(self, tasks=1, deadline_ms=0):
        while True:
            job_id = new_job_id(self.now_ms)
            if self.view.home_map.home_of(job_id).incarnation == OWN.incarnation:
                return Job(job_id, TEAM, SERVICE, (Task(),) * tasks, deadline_ms)

    def submit(self, job, request="r"):
        message = Submit(request, job)
        return self.home.submit(ENTRY, message, self.now, self.now_ms)

    def load(self, peer, free):
        return self.home.on_load(peer, Load(free), self.now)

    def cancel(self, job):
        message = Cancel("c", job.id, TEAM)
        return self.home.cancel(ENTRY, message, self.now, self.now_ms)

    def refused(self, peer, number, code):
        message = Refused(number, int(code), 0)
        return self.home.on_refused(peer, message, self.now, self.now_ms)

    def finished(self, peer, number, code=Code.OK):
        message = Finished(number, int(code), "x", "", 10.0, 1)
        return self.home.on_finished(peer, message, self.now, self.now_ms)


def bodies(effects, kind):
    return [each.body for each in effects if isinstance(each.body, kind)]


def only(effects, kind):
    (found,) = bodies(effects, kind)
    return found


class TestGrants:
    def test_free_slots_get_tasks_and_the_rest_is_told(self):
        setting = Setting()
        setting.load(OWN, 2)
        effects = setting.submit(setting.job(tasks=4))
        assert len(bodies(effects, Grant)) == 2
        assert {
            each.receiver for each in effects if isinstance(each.body, Waiting)
        } == {
            OWN,
            OTHER,
        }

    def test_pull_gets_the_job_with_the_fewest_tasks_left(self):
        setting = Setting()
        setting.submit(setting.job(tasks=5))
        small = setting.job()
        setting.submit(small)
        effects = setting.home.on_pull(OTHER, Pull(SERVICE, 0), setting.now)
        assert only(effects, Grant).job_id == small.id

    def test_refused_task_waits_again(self):
        setting = Setting()
        setting.load(OTHER, 1)
        grant = only(setting.submit(setting.job()), Grant)
        setting.refused(OTHER, grant.number, Code.NO_FREE_SLOT)
        again = only(setting.load(OWN, 1), Grant)
        assert (again.job_id, again.index) == (grant.job_id, grant.index)

    def test_nothing_is_granted_without_a_confirmed_view(self):
        setting = Setting()
        setting.now += VIEW.confirm_s
        setting.load(OWN, 2)
        assert not bodies(setting.submit(setting.job()), Grant)
        setting.confirm()
        assert bodies(setting.load(OWN, 2), Grant)

    def test_silent_agents_are_asked(self):
        setting = Setting()
        setting.load(OTHER, 1)
        grant = only(setting.submit(setting.job()), Grant)
        setting.now += 6.0
        setting.confirm()
        effects = setting.home.tick(setting.now, setting.now_ms)
        assert only(effects, Probe).grant_numbers == (grant.number,)


class TestGivingUp:
    def test_cancelled_task_whose_grant_was_never_seen_does_not_run_later(self):
        setting = Setting()
        setting.load(OTHER, 1)
        job = setting.job()
        grant = only(setting.submit(job), Grant)
        effects = setting.cancel(job)
        assert only(effects, Stop).grant_numbers == (grant.number,)
        effects = setting.refused(OTHER, grant.number, Code.GRANT_UNSEEN)
        answers = bodies(effects, Reply)
        assert {each.answer.code for each in answers} == {Code.CANCELLED}
        assert not bodies(setting.load(OWN, 2), Grant)

    def test_refused_task_of_a_failed_job_does_not_run_later(self):
        setting = Setting()
        setting.load(OWN, 1)
        setting.load(OTHER, 1)
        grants = bodies(setting.submit(setting.job(tasks=2)), Grant)
        setting.finished(OWN, grants[0].number, Code.TASK_FAILED)
        effects = setting.refused(OTHER, grants[1].number, Code.NO_FREE_SLOT)
        codes = [each.code for each in only(effects, Reply).answer.tasks]
        assert codes == [Code.TASK_FAILED, Code.DROPPED_WITH_JOB]

    def test_deadline_passes_without_a_confirmed_view_is_unknown(self):
        setting = Setting()
        setting.submit(setting.job(deadline_ms=100))
        setting.now += VIEW.confirm_s
        effects = setting.home.tick(setting.now, setting.now_ms)
        assert only(effects, Reply).answer.code == Code.HOME_UNCONFIRMED


class TestDepartedAgents:
    def test_task_of_a_lost_agent_is_unknown_and_never_granted_again(self):
        setting = Setting()
        setting.load(OTHER, 1)
        only(setting.submit(setting.job()), Grant)
        lost = RosterChange(lost=("agent-1/0",))
        roster = apply_roster_change(
            setting.view.roster, lost, setting.now_ms + 4000, 0
        )
        setting.view.update_roster(roster, setting.now_ms)
        effects = setting.home.on_view_changed(setting.now, setting.now_ms)
        assert only(effects, Reply).answer.code == Code.AGENT_LOST
        assert not bodies(setting.load(OWN, 2), Grant)


class TestHandover:
    def test_pending_records_are_sent_again_until_they_are_taken(self):
        setting = Setting()
        setting.load(OWN, 1)
        job = setting.job()
        grant = only(setting.submit(job), Grant)
        setting.finished(OWN, grant.number)
        departing = RosterChange(departing=("agent-0/0",))
        roster = apply_roster_change(
            setting.view.roster, departing, setting.now_ms + 9, 0
        )
        setting.view.update_roster(roster, setting.now_ms)
        first = setting.home.hand_over()
        assert only(first, Handover).records[0][0] == job.id
        assert setting.home.hand_over() == first
        setting.home.on_handover_taken(HandoverTaken(only(first, Handover).number))
        assert not setting.home.handing_over
        assert setting.home.hand_over() == []


class TestAdmission:
    def test_full_queue_refuses_and_keeps_its_word(self):
        setting = Setting()
        setting.submit(setting.job(tasks=POLICY.queue_tasks))
        refused = setting.job()
        assert only(setting.submit(refused), Reply).answer.code == Code.QUEUE_FULL
        setting.load(OWN, 2)
        assert only(setting.submit(refused), Reply).answer.code == Code.QUEUE_FULL

    @pytest.mark.parametrize(
        ("offset_ms", "code"),
        [(VIEW.skew_ms + 500, Code.BIRTH_IN_FUTURE), (-61_000, Code.ID_TOO_OLD)],
    )
    def test_births_outside_the_window(self, offset_ms, code):
        setting = Setting()
        setting.now += 100.0
        setting.confirm()
        while True:
            job_id = new_job_id(setting.now_ms + offset_ms)
            if setting.view.home_map.home_of(job_id).incarnation == OWN.incarnation:
                break
        job = Job(job_id, TEAM, SERVICE, (Task(),))
        assert only(setting.submit(job), Reply).answer.code == code
