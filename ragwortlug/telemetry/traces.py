"""Traces: a span for each hop, kept in memory by job until newer jobs replace it.

The entry decides whether a job is traced. Every message carries the context as a W3C
``traceparent``; an empty one means that the job is not traced, and adds no cost.
"""

import random
from collections import OrderedDict
from contextlib import contextmanager

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import SpanProcessor, TracerProvider
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

MAX_JOBS = 500
HEADER = "traceparent"
NS_PER_MS = 1e6

_propagator = TraceContextTextMapPropagator()


class Traces(SpanProcessor):
    """The spans of one process.

    Parameters
    ----------
    process : str
        Name that each span carries.
    share : float
        Fraction of the jobs that are traced, from 0 to 1.
    rng : random.Random, optional
        Decides which jobs are traced.
    """

    def __init__(self, process, share, rng=None):
        self._process = process
        self._share = share
        self._rng = rng or random.Random()
        self._spans_by_job = OrderedDict()
        provider = TracerProvider(resource=Resource({"service.name": process}))
        provider.add_span_processor(self)
        self._tracer = provider.get_tracer("ragwortlug")

    def begin(self):
        """Return whether to trace a new job, chosen at random."""
        return self._share > 0 and self._rng.random() < self._share

    @contextmanager
    def span(self, name, job_id, parent="", root=False):
        """Record a hop as a span; yield the context to send on, empty if not traced."""
        if not parent and not root:
            yield ""
            return
        context = _propagator.extract({HEADER: parent}) if parent else None
        attributes = {"job": job_id}
        with self._tracer.start_as_current_span(
            name, context=context, attributes=attributes
        ):
            carrier = {}
            _propagator.inject(carrier)
            yield carrier.get(HEADER, "")

    def spans(self, job_id):
        """Return the finished spans of a job, as a tuple of dicts."""
        return tuple(self._spans_by_job.get(job_id, ()))

    def on_end(self, span):
        """Store a finished span; called by the tracing library."""
        job_id = span.attributes["job"]
        if job_id not in self._spans_by_job and len(self._spans_by_job) >= MAX_JOBS:
            self._spans_by_job.popitem(last=False)
        record = {
            "name": span.name,
            "process": self._process,
            "span": format(span.context.span_id, "016x"),
            "parent": format(span.parent.span_id, "016x") if span.parent else "",
            "start_ms": span.start_time / NS_PER_MS,
            "duration_ms": (span.end_time - span.start_time) / NS_PER_MS,
        }
        self._spans_by_job.setdefault(job_id, []).append(record)
