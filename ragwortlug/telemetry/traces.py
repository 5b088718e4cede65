"""Traces: a span for each hop, kept in memory by job until others push them out.

The entry decides whether a job is traced. The context travels with every message
as a W3C ``traceparent``; an empty one means that the job is not traced, and costs
nothing on the way.
"""

import random
from collections import OrderedDict
from contextlib import contextmanager

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import SpanProcessor, TracerProvider
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

KEPT_JOBS = 500
HEADER = "traceparent"
NS_PER_MS = 1e6

_propagator = TraceContextTextMapPropagator()


class Traces(SpanProcessor):
    """The spans of one process.

    Parameters
    ----------
    process : str
        Named in each span.
    share : float
        Share of the jobs that are traced, from 0 to 1.
    """

    def __init__(self, process, share, rng=None):
        self._process = process
        self._share = share
        self._random = rng or random.Random()
        self._jobs = OrderedDict()
        provider = TracerProvider(resource=Resource({"service.name": process}))
        provider.add_span_processor(self)
        self._tracer = provider.get_tracer("ragwortlug")

    def begin(self):
        """Return whether the next new job is to be traced."""
        return self._share > 0 and self._random.random() < self._share

    @contextmanager
    def span(self, name, job_id, parent="", root=False):
        """Time a hop; give the context to hand on, empty if not traced."""
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
        """Return the finished spans of a job, as plain records."""
        return tuple(self._jobs.get(job_id, ()))

    def on_end(self, span):
        """Keep a finished span; called by the tracing library."""
        job_id = span.attributes["job"]
        if job_id not in self._jobs and len(self._jobs) >= KEPT_JOBS:
            self._jobs.popitem(last=False)
        record = {
            "name": span.name,
            "process": self._process,
            "span": format(span.context.span_id, "016x"),
            "parent": format(span.parent.span_id, "016x") if span.parent else "",
            "start_ms": span.start_time / NS_PER_MS,
            "duration_ms": (span.end_time - span.start_time) / NS_PER_MS,
        }
        self._jobs.setdefault(job_id, []).append(record)
