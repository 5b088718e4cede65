"""Jobs that callers have submitted to more than one entry, as one entry sees them.

An entry may not notice that a caller's connection has broken, and goes on with its
job while the caller submits it again elsewhere. The second entry then attaches the
request to the job of the first one. An entry that the others can't reach any more
gives up its jobs before they start them.
"""

from ragwortlug.codes import Code
from ragwortlug.envelope import Send
from ragwortlug.jobs import dispatch_events as events
from ragwortlug.jobs.cancels import Cancels
from ragwortlug.jobs.ended_requests import EndedRequests
from ragwortlug.jobs.entry_routes import EntryRoutes
from ragwortlug.jobs.isolation import Isolation
from ragwortlug.jobs.job_owners import JobOwners
from ragwortlug.jobs.remote_requests import RemoteRequest, RemoteRequests
from ragwortlug.jobs.request_answer import RequestAnswer
from ragwortlug.lease_messages import AttachedRequestEnded, RequestAttached

MS_PER_S = 1000.0


class SharedJobs:
    """One entry's part in the jobs that several entries may have.

    Parameters
    ----------
    settings : RestartSettings
        Gives the times after which callers return and permissions have expired.
    records : dict
        The entry's open jobs: job id to `RestartableRecord`.
    stopping_job_ids : callable
        Returns the ids of removed jobs with runs that have not ended, a set.
    finish_job : callable
        Ends a job: called with its record, a `Code` and the time.
    submit : callable
        Submits a job at this entry: called with the fields of a request.
    """

    def __init__(self, settings, records, stopping_job_ids, finish_job, submit):
        self._records = records
        self._stopping_job_ids = stopping_job_ids
        self._finish_job = finish_job
        self._submit = submit
        self._owners = JobOwners(settings)
        self._routes = EntryRoutes()
        self._remote_requests = RemoteRequests()
        self._cancels = Cancels(records, finish_job, self._owner_address)
        # The processes whose requests are attached to jobs here, by request id.
        self._attached_from = {}
        # The requests of other entries that wait for runs to end, by job id.
        self._awaiting_ends = {}
        self._ended_requests = EndedRequests()
        self._isolation = Isolation(self._owners.silence_s)
        self._own_address = ""
        self._updated_at = None

    @property
    def isolated(self):
        """Return whether the contact with all other processes is lost."""
        return self._isolation.active

    @property
    def followed(self):
        """Return the number of requests here that wait for jobs of other entries."""
        return len(self._remote_requests)

    @property
    def cancels(self):
        """Return the `Cancels`, which handles the cancels of all entries."""
        return self._cancels

    def set_entries(self, addresses, own_address):
        """Set the addresses of all entries and of this one."""
        self._own_address = own_address
        self._owners.set_entries(addresses, own_address)

    def needs_relay(self, address, now):
        """Return whether messages to an entry must also go by way of agents."""
        return self._routes.needs_relay(address, now)

    def is_owned_elsewhere(self, job_id, now):
        """Return whether another entry may have runs of a job."""
        return self._owners.owner_of(job_id, now) is not None

    def has_paused(self, now):
        """Return whether other entries may have found this one silent by its pause."""
        if self._updated_at is None or not self._owners.knows_others:
            return False
        return now - self._updated_at > self._owners.isolated_after_s

    # Requests of this entry's callers.

    def follow(self, request_id, job, queue, deadline, now, arrived):
        """Attach a request, which arrived at some time, to the job of another entry.

        Returns
        -------
        list or None
            The effects; None if no other entry may have the job.
        """
        owner = self._owners.owner_of(job.id, now)
        if owner is None:
            return None
        request = RemoteRequest(
            request_id, job, queue, arrived, deadline, owner.peer, owner.received_at
        )
        return [events.job_followed(request), self._remote_requests.add(request, now)]

    def withdraw(self, request_id):
        """Withdraw a request; return the effects, or None if it follows no job."""
        self._attached_from.pop(request_id, None)
        request = self._remote_requests.pop(request_id)
        return None if request is None else [request.detach()]

    def may_be_elsewhere(self, arrived, now):
        """Return whether a caller may have submitted its job elsewhere meanwhile.

        `arrived` is when its request arrived here. A job as old as that would have
        been announced to the other entries by now.
        """
        waited_s = now - arrived
        return self._owners.knows_others and waited_s >= self._owners.announced_age_s

    def answer(self, request_id, job_id, code, retry_after_s, now):
        """Return the effect that answers a request of a caller or of another entry."""
        receiver = self._attached_from.pop(request_id, None)
        if receiver is None:
            return RequestAnswer(request_id, job_id, code, retry_after_s)
        answer = Send(receiver, AttachedRequestEnded(request_id, code, retry_after_s))
        self._ended_requests.add(request_id, answer, now)
        return answer

    # Messages of other entries.

    def on_direct_open_jobs(self, sender, message, now):
        """Handle an announcement that has not come by way of an agent."""
        self._routes.on_direct_contact(sender.address, now)
        return self.on_open_jobs(sender, message, now)

    def on_open_jobs(self, sender, message, now):
        """Record the jobs of another entry; resolve those that are open here too.

        A job is left to the entry at which its caller submitted it last.
        """
        if self._owners.is_outdated(sender, message):
            return []
        is_silent = self._own_address in message.silent
        self._routes.on_silence_reported(sender.address, is_silent, now)
        is_back = self._owners.on_open_jobs(sender, message, now)
        self._remote_requests.on_contact(sender, now)
        effects = self._cancels.on_open_jobs(sender, message, now)
        disputed = []
        for job_id, age_ms in message.jobs:
            record = self._records.get(job_id)
            if record is None:
                continue
            own_age_ms = round((now - record.arrived) * MS_PER_S)
            if (own_age_ms, self._own_address) > (age_ms, sender.address):
                effects.append(events.job_yielded(record, sender, now))
                effects += self._finish_job(record, Code.OUTCOME_UNKNOWN, now)
            else:
                disputed.append(job_id)
        if is_back or disputed:
            newcomer = sender if is_back else None
            stopping = self._stopping_job_ids()
            silent = self._routes.silent(now)
            answer = self._owners.announcement(
                self._records, stopping, silent, now, disputed, newcomer
            )
            effects.append(Send(sender, answer))
        return effects

    def on_direct_runs_stopping(self, sender, message, now):
        """Handle a `RunsStopping` that has not come by way of an agent."""
        self._routes.on_direct_contact(sender.address, now)
        return self.on_runs_stopping(sender, message, now)

    def on_runs_stopping(self, sender, message, now):
        """Record a job that another entry has given up, and whose runs must end."""
        if self._owners.is_outdated(sender, message):
            return []
        self._owners.on_runs_stopping(sender, message, now)
        record = self._records.get(message.job_id)
        return [] if record is None else [events.job_overlaps(record, sender, now)]

    def on_attach_request(self, sender, message, now):
        """Attach a request at another entry to the open job of that id."""
        request_id = message.request_id
        ended = self._ended_requests.get(request_id)
        if ended is not None:
            return self._repeat_end(ended, message.job_id)
        if self._cancels.is_cancelled(message.job_id, now):
            return [
                Send(sender, AttachedRequestEnded(request_id, Code.CANCELLED_BEFORE))
            ]
        deadline = now + message.limit_ms / MS_PER_S
        record = self._records.get(message.job_id)
        if record is not None:
            attached = Send(sender, RequestAttached(request_id))
            return [attached, *self._attach(record, request_id, sender, deadline)]
        if message.job_id in self._stopping_job_ids():
            awaiting = self._awaiting_ends.setdefault(message.job_id, {})
            awaiting.setdefault(request_id, (sender, deadline))
            return [Send(sender, RequestAttached(request_id))]
        answer = Send(sender, AttachedRequestEnded(request_id))
        return self._ended_requests.add(request_id, answer, now)

    def _attach(self, record, request_id, sender, deadline):
        """Attach a request of another entry to an open job, unless it is attached."""
        if request_id in record.requests:
            return []
        self._attached_from[request_id] = sender
        record.attach(request_id, deadline)
        return [events.job_attached(record)]

    def _repeat_end(self, ended, job_id):
        """Return the answer to a request that has ended before, in a list.

        That nobody has its job may no longer be true.
        """
        if ended.answer is None:
            return []
        body = ended.answer.body
        is_here = job_id in self._records or job_id in self._stopping_job_ids()
        if body.code is None and is_here:
            body = AttachedRequestEnded(body.request_id, Code.OUTCOME_UNKNOWN)
        return [Send(ended.answer.receiver, body)]

    def on_detached(self, message, now):
        """Record that a request of another entry was withdrawn."""
        self._ended_requests.add(message.request_id, None, now)
        self._awaiting_ends.get(message.job_id, {}).pop(message.request_id, None)

    def on_request_attached(self, sender, _message, now):
        """Record that another entry keeps an attached request waiting."""
        self._remote_requests.on_contact(sender, now)
        return []

    def on_attached_request_ended(self, sender, message, now):
        """Answer an attached request, or start its job here if nobody has it."""
        request = self._remote_requests.pop_ended(sender, message.request_id)
        if request is None:
            return []
        if message.code is None:
            return self._reclaim(request, now)
        answer = RequestAnswer(
            request.request_id, request.job.id, message.code, message.retry_after_s
        )
        return [answer]

    # Events.

    def update(self, hears_agent, now):
        """Announce open jobs, and end what can't be waited for, periodically.

        `hears_agent` says whether any agent has been in contact recently.
        """
        self._routes.set_entries(self._owners.other_addresses, now)
        effects = events.relaying_changed(*self._routes.update(now))
        effects += self._cancels.update(self._owners.other_addresses, now)
        effects += self._update_isolation(hears_agent, now)
        for request in self._remote_requests.pop_expired(now):
            code = Code.LEASE_ENDED
            answer = RequestAnswer(request.request_id, request.job.id, code)
            effects += [answer, request.detach()]
        for request in self._remote_requests.pop_orphaned(self._owners.silence_s, now):
            effects += self._reclaim(request, now)
        effects += self._remote_requests.repeat(now)
        self._ended_requests.expire(now)
        stopping = self._stopping_job_ids()
        silent = self._routes.silent(now)
        return effects + self._owners.announce(self._records, stopping, silent, now)

    def on_stopped_run_ended(self, job_id, now):
        """Answer the requests that waited for the last run of a removed job to end.

        The job is left to the entry that asked last. If it is open here again, they are
        attached to it.
        """
        if job_id in self._stopping_job_ids():
            return []
        awaiting = self._awaiting_ends.pop(job_id, {})
        record = self._records.get(job_id)
        effects = []
        if record is not None:
            for request_id, (sender, deadline) in awaiting.items():
                effects += self._attach(record, request_id, sender, deadline)
            return effects
        is_cancelled = self._cancels.is_cancelled(job_id, now)
        codes = dict.fromkeys(awaiting, Code.OUTCOME_UNKNOWN)
        if awaiting:
            last = next(reversed(awaiting))
            codes[last] = Code.CANCELLED_BEFORE if is_cancelled else None
        for request_id, (sender, _) in awaiting.items():
            answer = Send(sender, AttachedRequestEnded(request_id, codes[request_id]))
            effects += self._ended_requests.add(request_id, answer, now)
        return effects

    def announce_stopping(self, job_id):
        """Return the effects that announce a removed job with runs that must end."""
        return self._owners.announce_stopping(job_id)

    def _owner_address(self, job_id, now):
        """Return the address of the entry that has announced a job, or ""."""
        owner = self._owners.owner_of(job_id, now)
        return "" if owner is None else owner.peer.address

    def _update_isolation(self, hears_agent, now):
        """Give up all jobs if other entries may start them."""
        was_isolated = self.isolated
        has_paused = self.has_paused(now)
        self._updated_at = now
        if not (self._owners.knows_others or self.isolated):
            return []
        hears_entry = self._owners.hears_entry(now)
        self._isolation.update(hears_entry, hears_agent, has_paused, now)
        effects = events.isolation_changed(was_isolated, self.isolated)
        return effects + self._give_up_all(now) if self.isolated else effects

    def _give_up_all(self, now):
        """End all jobs and requests without a known outcome."""
        effects = []
        for record in tuple(self._records.values()):
            effects += self._finish_job(record, Code.OUTCOME_UNKNOWN, now)
        for request in self._remote_requests.pop_all():
            code = Code.OUTCOME_UNKNOWN
            effects.append(RequestAnswer(request.request_id, request.job.id, code))
        return effects

    def _reclaim(self, request, now):
        """Start the job of a remote request here, since its owner has no run of it.

        A request is given up if its caller may have submitted the job elsewhere since,
        and ended if the job was cancelled.
        """
        job = request.job
        self._owners.remove(request.owner, job.id)
        if self._cancels.is_cancelled(job.id, now):
            cancelled = events.job_cancelled_before(job.id)
            code = Code.CANCELLED_BEFORE
            return [cancelled, RequestAnswer(request.request_id, job.id, code)]
        if now - request.arrived >= self._owners.announced_age_s:
            return [RequestAnswer(request.request_id, job.id, Code.OUTCOME_UNKNOWN)]
        return [
            events.job_reclaimed(request),
            *self._submit(
                request.request_id,
                job,
                request.queue,
                request.deadline,
                now,
                request.arrived,
            ),
        ]
