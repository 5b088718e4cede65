"""Callers' interface: jobs over HTTP and JSON."""

from dataclasses import dataclass

import msgspec
from aiohttp import web

from ragwortlug.codes import Code
from ragwortlug.errors import RequestError
from ragwortlug.io.http import error_body, json_response, read_body
from ragwortlug.model import MAX_TASKS, Answer, Job, Name, Natural, Task, is_job_id

NO_WAIT = "0"


@dataclass(frozen=True, slots=True)
class Submission:
    """A job as callers write it; without an id, the entry chooses one."""

    team: Name
    service: Name
    tasks: tuple[Task, ...]
    id: str = ""
    deadline_ms: Natural = 0


_submissions = msgspec.json.Decoder(Submission)


class CallerRoutes:
    """The routes for callers.

    Parameters
    ----------
    server : HttpServer
        Gets the routes.
    relay : Relay
        Carries requests to homes.
    traces : Traces
        Begins a trace for some jobs.
    """

    def __init__(self, server, relay, traces):
        self._relay = relay
        self._traces = traces
        server.app.add_routes(
            [
                web.post("/jobs", self._submit),
                web.get("/jobs/{id}", self._fetch),
                web.delete("/jobs/{id}", self._cancel),
            ]
        )

    async def _submit(self, request):
        """Run a job and answer with its outcome."""
        submission = await read_body(request, _submissions)
        job = self._job(submission)
        wait = request.query.get("wait") != NO_WAIT
        root = "trace" in request.query or self._traces.begin()
        with self._traces.span("entry", job.id, root=root) as context:
            answer = await self._relay.submit(job, wait, context)
        return answer_response(answer)

    async def _fetch(self, request):
        """Answer with the outcome of a job submitted before."""
        job_id = _job_id(request)
        wait = request.query.get("wait") != NO_WAIT
        answer = await self._relay.fetch(job_id, _team(request), wait)
        return answer_response(answer)

    async def _cancel(self, request):
        """Give up a job and answer with what became of it."""
        answer = await self._relay.cancel(_job_id(request), _team(request))
        return answer_response(answer)

    def _job(self, submission):
        """Return the job that a submission describes, or raise."""
        if not submission.tasks:
            raise RequestError("", Code.NO_TASKS)
        if len(submission.tasks) > MAX_TASKS:
            detail = f"{len(submission.tasks)} tasks; at most {MAX_TASKS}"
            raise RequestError(detail, Code.TOO_MANY_TASKS)
        if submission.id and not is_job_id(submission.id):
            detail = f"{submission.id!r} is not a UUID of version 7"
            raise RequestError(detail, Code.BAD_JOB_ID)
        job_id = submission.id or self._relay.generate_job_id()
        return Job(
            job_id,
            submission.team,
            submission.service,
            submission.tasks,
            submission.deadline_ms,
        )


def answer_response(answer: Answer):
    """Return the response that carries an answer."""
    code = Code(answer.code)
    body = error_body(code, answer.detail)
    body["id"] = answer.id
    body["tasks"] = [
        {
            "code": each.code,
            "verdict": Code(each.code).verdict.value,
            "result": each.result,
            "detail": each.detail,
        }
        for each in answer.tasks
    ]
    return json_response(body, code)


def _job_id(request):
    """Return the job id in a request's path, or raise."""
    job_id = request.match_info["id"]
    if not is_job_id(job_id):
        detail = f"{job_id!r} is not a UUID of version 7"
        raise RequestError(detail, Code.BAD_JOB_ID)
    return job_id


def _team(request):
    """Return the team that a request names, or raise."""
    team = request.query.get("team", "")
    if not team:
        raise RequestError("the query lacks `team`", Code.BAD_FIELD)
    return team
