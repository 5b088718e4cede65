"""HTTP interface for callers: jobs as JSON."""

from dataclasses import dataclass

import msgspec
from aiohttp import web

from ragwortlug.codes import Code
from ragwortlug.decoding import JsonDecoder, check_plain_value
from ragwortlug.errors import RequestError
from ragwortlug.io.http import read_body
from ragwortlug.io.responses import error_body, json_response
from ragwortlug.model import MAX_TASKS, Answer, Job, Name, Natural, Task, is_job_id

WAIT_OFF = "0"


@dataclass(frozen=True, slots=True)
class Submission:
    """A job as a caller submits it; without an id, the entry generates one."""

    team: Name
    service: Name
    tasks: tuple[Task, ...]
    id: str = ""
    deadline_ms: Natural = 0


_submission_decoder = JsonDecoder(Submission)


class CallerRoutes:
    """The routes for callers.

    Parameters
    ----------
    server : HttpServer
        The server to add the routes to.
    relay : Relay
        Sends requests to the homes of jobs.
    traces : Traces
        Starts a trace for some jobs, and for each that the caller asks to trace.
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
        """Submit a job and respond with its `Answer`."""
        submission = await read_body(request, _submission_decoder)
        job = self._build_job(submission)
        wait = request.query.get("wait") != WAIT_OFF
        root = "trace" in request.query or self._traces.begin()
        with self._traces.span("entry", job.id, root=root) as context:
            answer = await self._relay.submit(job, wait, context)
        return answer_response(answer)

    async def _fetch(self, request):
        """Respond with the `Answer` of a job submitted earlier."""
        job_id = _path_job_id(request)
        wait = request.query.get("wait") != WAIT_OFF
        answer = await self._relay.fetch(job_id, _query_team(request), wait)
        return answer_response(answer)

    async def _cancel(self, request):
        """Cancel a job and respond with its `Answer`."""
        answer = await self._relay.cancel(_path_job_id(request), _query_team(request))
        return answer_response(answer)

    def _build_job(self, submission):
        """Return the `Job` that a submission describes, or raise `RequestError`."""
        if not submission.tasks:
            raise RequestError("", Code.NO_TASKS)
        if len(submission.tasks) > MAX_TASKS:
            detail = f"{len(submission.tasks)} tasks; at most {MAX_TASKS}"
            raise RequestError(detail, Code.TOO_MANY_TASKS)
        if submission.id and not is_job_id(submission.id):
            detail = f"{submission.id!r} is not a UUID of version 7"
            raise RequestError(detail, Code.BAD_JOB_ID)
        _check_payloads(submission.tasks)
        job_id = submission.id or self._relay.generate_job_id()
        return Job(
            job_id,
            submission.team,
            submission.service,
            submission.tasks,
            submission.deadline_ms,
        )


def answer_response(answer: Answer):
    """Return the JSON response for an answer."""
    code = Code(answer.code)
    body = error_body(code, answer.detail)
    body["id"] = answer.id
    body["tasks"] = [
        {
            "code": task.code,
            "verdict": Code(task.code).verdict.value,
            "result": task.result,
            "detail": task.detail,
        }
        for task in answer.tasks
    ]
    return json_response(body, code)


def _check_payloads(tasks):
    """Raise `RequestError` for a payload that can't be passed on to a target."""
    for index, task in enumerate(tasks):
        try:
            check_plain_value(task.payload)
        except msgspec.DecodeError as error:
            detail = f"{error} - at `$.tasks[{index}].payload`"
            raise RequestError(detail, Code.BAD_FIELD) from error


def _path_job_id(request):
    """Return the job id in a request's path, or raise `RequestError`."""
    job_id = request.match_info["id"]
    if not is_job_id(job_id):
        detail = f"{job_id!r} is not a UUID of version 7"
        raise RequestError(detail, Code.BAD_JOB_ID)
    return job_id


def _query_team(request):
    """Return the team in a request's query, or raise `RequestError`."""
    team = request.query.get("team", "")
    if not team:
        raise RequestError("the query lacks `team`", Code.BAD_FIELD)
    return team
