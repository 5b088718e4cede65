"""Measures what cancels cost an entry, in processor time, bytes and memory."""

import random
import time
import tracemalloc

from ragwortlug.envelope import Envelope, Peer, Send
from ragwortlug.jobs.cancels import MAX_CANCELS, Cancels
from ragwortlug.lease_messages import CODEC, CancelJobs, CancelsReceived, OpenJobs

ENTRIES = (3, 12)
CANCELS = 2000
RATE_PER_S = 300
TICK_S = 0.05
TICKS = 200
US_PER_S = 1_000_000
BYTES_PER_MB = 1_000_000
OWN = Peer("tcp://10.1.0.250:7720", "entry-own")


def measure():
    """Print the cost of a cancel, and of a full table, by the number of entries."""
    print("entries  cancel, us  received, us  sent, B  acknowledged, B")
    for count in ENTRIES:
        origin_us, other_us, sent, acknowledged = _measure_cancels(count - 1)
        print(
            f"{count:7}  {origin_us:10.1f}  {other_us:12.1f}  {sent:7.0f}"
            f"  {acknowledged:15.0f}"
        )
    print("entries  all silent: MB  tick, us  all acknowledged: MB  tick, us")
    for count in ENTRIES:
        silent = _measure_full_table(count - 1, False)
        calm = _measure_full_table(count - 1, True)
        print(
            f"{count:7}  {silent[0]:14.1f}  {silent[1]:8.0f}  {calm[0]:20.1f}"
            f"  {calm[1]:8.0f}"
        )


def _measure_cancels(others):
    """Return the us of a cancel at its entry and at another, and its bytes there."""
    peers = _peers(others)
    origin, other = _cancels(peers), _cancels([OWN])
    origin_s = other_s = 0.0
    sent = acknowledged = 0
    for job_id in _job_ids(CANCELS):
        began = time.process_time()
        messages = _messages(origin.cancel(job_id, 0.0))
        origin_s += time.process_time() - began
        sent += _size(messages[0].body)
        began = time.process_time()
        (answer,) = _messages(other.on_cancel_jobs(OWN, messages[0].body, 0.0))
        other_s += time.process_time() - began
        acknowledged += _size(answer.body)
        began = time.process_time()
        for peer in peers:
            origin.on_cancels_received(peer, answer.body, 0.0)
        origin_s += time.process_time() - began
    per_cancel_us = US_PER_S / CANCELS
    return (
        origin_s * per_cancel_us,
        other_s * per_cancel_us,
        sent / CANCELS,
        acknowledged / CANCELS,
    )


def _measure_full_table(others, acknowledges):
    """Return the memory of a full table in MB, and the us of a tick with it."""
    peers = _peers(others)
    tracemalloc.start()
    cancels = _cancels(peers)
    for number, job_id in enumerate(_job_ids(MAX_CANCELS)):
        effects = cancels.cancel(job_id, number / RATE_PER_S / 10)
        if acknowledges:
            for peer in peers:
                received = CancelsReceived((job_id,))
                cancels.on_cancels_received(peer, received, 0.0)
        del effects
    used_mb = tracemalloc.get_traced_memory()[0] / BYTES_PER_MB
    tracemalloc.stop()
    now = MAX_CANCELS / RATE_PER_S / 10
    addresses = [peer.address for peer in peers]
    began = time.process_time()
    for tick in range(TICKS):
        for message in _messages(cancels.update(addresses, now + tick * TICK_S)):
            _size(message.body)
    return used_mb, (time.process_time() - began) * US_PER_S / TICKS


def _cancels(peers):
    """Return the cancels of an entry without jobs that hears others."""
    cancels = Cancels({}, None, lambda job_id, now: "")
    cancels.update([peer.address for peer in peers], 0.0)
    for peer in peers:
        cancels.on_open_jobs(peer, OpenJobs(1), 0.0)
    return cancels


def _peers(count):
    """Return so many entries."""
    return [Peer(f"tcp://10.1.0.{n}:7720", f"entry-{n}") for n in range(count)]


def _job_ids(count):
    """Yield job ids."""
    rng = random.Random(1)
    for _ in range(count):
        yield f"{rng.getrandbits(64):016x}"


def _messages(effects):
    """Return the messages among effects."""
    kinds = (CancelJobs, CancelsReceived)
    return [
        each
        for each in effects
        if isinstance(each, Send) and isinstance(each.body, kinds)
    ]


def _size(body):
    """Return the bytes of a message with its envelope."""
    return len(CODEC.encode(Envelope(OWN, "", body)))
