"""The ledger: the answers a home keeps, so that an id is never started again.

An entry outlives its results: past the memory bound the oldest results are given
up, but the record that the id is used stays for the whole window.
"""

from collections import OrderedDict
from dataclasses import dataclass, replace

import msgspec

from ragwortlug.codes import Code
from ragwortlug.invariants import Invariant, check
from ragwortlug.model import Answer, TaskOutcome, job_created_at_ms


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A settled job: whose it was, what it was, and its answer."""

    team: str
    digest: bytes
    answer: Answer
    result_bytes: int = 0


class AnswerStore:
    """Settled jobs by id, within a window and a memory bound.

    Parameters
    ----------
    window_s : float
        How long after its birth an id is kept.
    result_limit : int
        Bytes that the kept results may take.
    """

    def __init__(self, window_s, result_limit):
        self._window_ms = window_s * 1000
        self._result_limit = result_limit
        self._result_bytes = 0
        self._stored = {}
        self._with_results = OrderedDict()
        self._by_age = OrderedDict()

    def __len__(self):
        return len(self._stored)

    def __contains__(self, job_id):
        return job_id in self._stored

    def get(self, job_id):
        """Return what is kept of a job, or None."""
        return self._stored.get(job_id)

    def items(self):
        """Return all ids with what is kept of them."""
        return tuple(self._stored.items())

    def store(self, job_id, team, digest, answer, now_ms):
        """Keep an answer."""
        known = self._stored.get(job_id)
        check(Invariant.ANSWER_FINAL, known is None, id=job_id)
        size = 0
        if answer.code == Code.OK:
            size = len(msgspec.msgpack.encode(answer.tasks))
            self._with_results[job_id] = None
            self._result_bytes += size
        self._stored[job_id] = StoredAnswer(team, digest, answer, size)
        self._by_age[job_id] = max(now_ms, job_created_at_ms(job_id))
        self._drop_results()

    def expire(self, now_ms):
        """Forget ids that are older than the window."""
        while self._by_age:
            job_id, stored_at_ms = next(iter(self._by_age.items()))
            if stored_at_ms + self._window_ms > now_ms:
                return
            del self._by_age[job_id]
            self._result_bytes -= self._stored.pop(job_id).result_bytes
            self._with_results.pop(job_id, None)

    def _drop_results(self):
        """Give up the oldest results until the rest fits."""
        while self._result_bytes > self._result_limit and self._with_results:
            job_id, _ = self._with_results.popitem(last=False)
            stored = self._stored[job_id]
            self._result_bytes -= stored.result_bytes
            self._stored[job_id] = replace(
                stored, answer=without_results(stored.answer), result_bytes=0
            )


def without_results(answer):
    """Return an answer that says that the work was done and its results dropped."""
    outcomes = tuple(TaskOutcome(int(Code.RESULT_DROPPED)) for _ in answer.tasks)
    detail = "the work was done; its results are no longer kept"
    return replace(answer, code=int(Code.RESULT_DROPPED), tasks=outcomes, detail=detail)
