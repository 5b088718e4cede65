"""The answers that a home stores, so that it never starts a job id twice.

An entry outlives its results: beyond the memory limit the store drops the oldest
results, but keeps the record that the id is used for the whole window.
"""

from collections import OrderedDict
from dataclasses import dataclass, replace

import msgspec

from ragwortlug.codes import Code
from ragwortlug.invariants import Invariant, check
from ragwortlug.model import Answer, TaskOutcome, job_created_at_ms


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A finished job: its team, the digest of its submission, and its answer.

    Attributes
    ----------
    result_bytes : int
        Encoded size of the results; 0 if there are none or they were dropped.
    """

    team: str
    digest: bytes
    answer: Answer
    result_bytes: int = 0


class AnswerStore:
    """Finished jobs by id, limited by age and by the memory of their results.

    Parameters
    ----------
    window_s : float
        Seconds for which an id is kept after the later of its creation and the
        time at which its answer was stored.
    result_limit : int
        Maximum size of all stored results in bytes.
    """

    def __init__(self, window_s, result_limit):
        self._window_ms = window_s * 1000
        self._result_limit = result_limit
        self._result_bytes = 0
        self._stored = {}
        self._with_results = OrderedDict()
        self._stored_at_ms = OrderedDict()

    def __len__(self):
        return len(self._stored)

    def __contains__(self, job_id):
        return job_id in self._stored

    def get(self, job_id):
        """Return the `StoredAnswer` of a job, or None if there is none."""
        return self._stored.get(job_id)

    def items(self):
        """Return a tuple of all pairs of job id and `StoredAnswer`."""
        return tuple(self._stored.items())

    def store(self, job_id, team, digest, answer, now_ms):
        """Store the final answer of a job that has none yet."""
        existing = self._stored.get(job_id)
        check(Invariant.ANSWER_FINAL, existing is None, id=job_id)
        size = 0
        if answer.code == Code.OK:
            size = len(msgspec.msgpack.encode(answer.tasks))
            self._with_results[job_id] = None
            self._result_bytes += size
        self._stored[job_id] = StoredAnswer(team, digest, answer, size)
        self._stored_at_ms[job_id] = max(now_ms, job_created_at_ms(job_id))
        self._drop_oldest_results()

    def expire(self, now_ms):
        """Remove the ids whose window has passed."""
        while self._stored_at_ms:
            job_id, stored_at_ms = next(iter(self._stored_at_ms.items()))
            if stored_at_ms + self._window_ms > now_ms:
                return
            del self._stored_at_ms[job_id]
            self._result_bytes -= self._stored.pop(job_id).result_bytes
            self._with_results.pop(job_id, None)

    def _drop_oldest_results(self):
        """Drop the oldest results until the remaining ones fit the limit."""
        while self._result_bytes > self._result_limit and self._with_results:
            job_id, _ = self._with_results.popitem(last=False)
            stored = self._stored[job_id]
            self._result_bytes -= stored.result_bytes
            self._stored[job_id] = replace(
                stored, answer=without_results(stored.answer), result_bytes=0
            )


def without_results(answer):
    """Return the answer with every result replaced by the code RESULT_DROPPED."""
    outcomes = tuple(TaskOutcome(int(Code.RESULT_DROPPED)) for _ in answer.tasks)
    detail = "the work was done; its results are no longer kept"
    return replace(answer, code=int(Code.RESULT_DROPPED), tasks=outcomes, detail=detail)
