"""The ledger: the answers a home keeps, so that an id is never started again.

An entry outlives its results: past the memory bound the oldest results are given
up, but the record that the id is used stays for the whole window.
"""

from collections import OrderedDict
from dataclasses import dataclass, replace

import msgspec

from ragwortlug.codes import Code
from ragwortlug.invariants import Invariant, check
from ragwortlug.model import Answer, TaskOutcome, birth_of


@dataclass(frozen=True, slots=True)
class Kept:
    """A settled job: whose it was, what it was, and its answer."""

    team: str
    digest: bytes
    answer: Answer
    result_bytes: int = 0


class Ledger:
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
        self._kept = {}
        self._with_results = OrderedDict()
        self._by_age = OrderedDict()

    def __len__(self):
        return len(self._kept)

    def __contains__(self, job_id):
        return job_id in self._kept

    def get(self, job_id):
        """Return what is kept of a job, or None."""
        return self._kept.get(job_id)

    def items(self):
        """Return all ids with what is kept of them."""
        return tuple(self._kept.items())

    def keep(self, job_id, team, digest, answer, now_ms):
        """Keep an answer."""
        known = self._kept.get(job_id)
        check(Invariant.ANSWER_FINAL, known is None, id=job_id)
        size = 0
        if answer.code == Code.OK:
            size = len(msgspec.msgpack.encode(answer.tasks))
            self._with_results[job_id] = None
            self._result_bytes += size
        self._kept[job_id] = Kept(team, digest, answer, size)
        self._by_age[job_id] = max(now_ms, birth_of(job_id))
        self._drop_results()

    def expire(self, now_ms):
        """Forget ids that are older than the window."""
        while self._by_age:
            job_id, kept_ms = next(iter(self._by_age.items()))
            if kept_ms + self._window_ms > now_ms:
                return
            del self._by_age[job_id]
            self._result_bytes -= self._kept.pop(job_id).result_bytes
            self._with_results.pop(job_id, None)

    def _drop_results(self):
        """Give up the oldest results until the rest fits."""
        while self._result_bytes > self._result_limit and self._with_results:
            job_id, _ = self._with_results.popitem(last=False)
            kept = self._kept[job_id]
            self._result_bytes -= kept.result_bytes
            self._kept[job_id] = replace(
                kept, answer=without_results(kept.answer), result_bytes=0
            )


def without_results(answer):
    """Return an answer that says that the work was done and its results dropped."""
    outcomes = tuple(TaskOutcome(int(Code.RESULT_DROPPED)) for _ in answer.tasks)
    detail = "the work was done; its results are no longer kept"
    return replace(answer, code=int(Code.RESULT_DROPPED), tasks=outcomes, detail=detail)
