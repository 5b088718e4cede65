"""Messages between processes: nothing that has come waits for something else."""

import asyncio

import logbook
import pytest
import zmq

from ragwortlug.envelope import Envelope, Peer
from ragwortlug.io.peers import Peers
from ragwortlug.messages import CODEC, Load
from ragwortlug.telemetry.metrics import Metrics
from ragwortlug.timer import Timer

FIRST, SECOND = "tcp://127.13.0.1:7720", "tcp://127.13.0.2:7720"
LIMIT_S = 20.0
MESSAGES = 3000
REPLACEMENTS = 60


class End:
    """One process's peers, and what it has taken."""

    def __init__(self, address, incarnation):
        self.timer = Timer()
        self.metrics = Metrics()
        self.peers = Peers(Peer(address, incarnation), self.timer, self.metrics, CODEC)
        self.taken = asyncio.Queue()
        self.peers.register_handler(Load, lambda sender, body: self.take(sender, body))

    def take(self, sender, body):
        """Take one message."""
        self.taken.put_nowait(body.free_slots)

    async def stop(self):
        """Close everything."""
        await self.peers.stop()
        await self.timer.stop()


async def _pair():
    """Return two ends that listen; the second echoes what it takes."""
    first, second = End(FIRST, "first"), End(SECOND, "second")
    second.take = lambda sender, body: second.peers.send(sender, body)
    await first.peers.start()
    await second.peers.start()
    return first, second


class TestChannels:
    @pytest.mark.parametrize("at_once", [1, 7, 500])
    def test_answers_are_taken_while_others_are_sent(self, at_once):
        async def run():
            first, second = await _pair()
            try:
                async with asyncio.timeout(LIMIT_S):
                    taken = []
                    for begin in range(0, MESSAGES, at_once):
                        numbers = range(begin, min(begin + at_once, MESSAGES))
                        for each in numbers:
                            first.peers.send(Peer(SECOND), Load(each))
                        if at_once == 1:
                            taken.append(await first.taken.get())
                        else:
                            await asyncio.sleep(0)
                    while len(taken) < MESSAGES:
                        taken.append(await first.taken.get())
                assert taken == list(range(MESSAGES))
            finally:
                await first.stop()
                await second.stop()

        asyncio.run(run())

    def test_a_peer_that_vanishes_is_reached_again_at_once(self):
        async def run():
            first, second = await _pair()
            try:
                async with asyncio.timeout(LIMIT_S):
                    for number in range(REPLACEMENTS):
                        await second.stop()
                        first.peers.send(Peer(SECOND), Load(-1))
                        await asyncio.sleep(0)
                        second = End(SECOND, f"second-{number}")
                        await second.peers.start()
                        first.peers.reconnect(SECOND)
                        first.peers.send(Peer(SECOND), Load(number))
                        while await second.taken.get() != number:
                            pass
            finally:
                await first.stop()
                await second.stop()

        asyncio.run(run())


class TestOddMessages:
    """A message that can't be sent or read costs itself only."""

    ODD = [
        (Peer("garbage"), Load(1)),
        (Peer(""), Load(1)),
        (Peer("tcp://host.example:7720"), Load(1)),
        (Peer("tcp://127.13.0.2:99999"), Load(1)),
        (Peer("tcp://127.13.0.2:0"), Load(1)),
        (Peer(SECOND), Load(10**30)),
        (Peer(SECOND), Load("\udcff")),
        (Peer(SECOND), Load(object())),
    ]

    @pytest.mark.parametrize(("receiver", "body"), ODD)
    def test_the_others_are_sent(self, receiver, body):
        async def run():
            first, second = End(FIRST, "first"), End(SECOND, "second")
            await first.peers.start()
            await second.peers.start()
            try:
                async with asyncio.timeout(LIMIT_S):
                    for number in range(3):
                        first.peers.send(receiver, body)
                        first.peers.send(Peer(SECOND), Load(number))
                    taken = [await second.taken.get() for _ in range(3)]
            finally:
                await first.stop()
                await second.stop()
            assert taken == [0, 1, 2]
            assert first.metrics.counters["messages_unsent", "Load"] == 3

        with logbook.TestHandler() as handler:
            asyncio.run(run())
        warnings = [each for each in handler.records if "can't be sent" in each.message]
        assert len(warnings) == 1

    @pytest.mark.parametrize("address", ["", "garbage", "tcp://127.0.0.1:99999"])
    def test_a_sender_without_an_address_is_rejected(self, address):
        async def run():
            second = End(SECOND, "second")
            await second.peers.start()
            context = zmq.Context()
            socket = context.socket(zmq.DEALER)
            socket.connect(SECOND)
            try:
                for sender, number in ((address, 1), (FIRST, 2)):
                    envelope = Envelope(Peer(sender, "x"), "", Load(number))
                    socket.send(CODEC.encode(envelope))
                async with asyncio.timeout(LIMIT_S):
                    assert await second.taken.get() == 2
            finally:
                socket.close(0)
                context.term()
                await second.stop()
            assert second.metrics.counters["messages_rejected", "500"] == 1

        asyncio.run(run())

    def test_the_others_are_read_after_an_error(self):
        async def run():
            first, second = End(FIRST, "first"), End(SECOND, "second")
            dispatch = second.peers._dispatch

            def fail_first(envelope, size):
                if envelope.body.free_slots == 0:
                    raise RuntimeError("refused")
                dispatch(envelope, size)

            second.peers._dispatch = fail_first
            await first.peers.start()
            await second.peers.start()
            try:
                for number in range(3):
                    first.peers.send(Peer(SECOND), Load(number))
                async with asyncio.timeout(LIMIT_S):
                    assert [await second.taken.get() for _ in range(2)] == [1, 2]
            finally:
                await first.stop()
                await second.stop()

        asyncio.run(run())


class TestWatchedAddresses:
    """Connections whose silence is noticed before others act on it."""

    # An entry takes another one for stopped after 1.5 s without its announcements,
    # which come each 0.25 s.
    LIMIT_MS = 1250

    def test_silence_is_noticed_before_others_take_jobs_over(self):
        async def run():
            first, second = await _pair()
            try:
                first.peers.watch(SECOND)
                first.peers.send(Peer(SECOND), Load(1))
                async with asyncio.timeout(LIMIT_S):
                    await first.taken.get()
                socket = first.peers._connections[SECOND].channel._socket
                return sum(
                    socket.getsockopt(option)
                    for option in (zmq.HEARTBEAT_IVL, zmq.HEARTBEAT_TIMEOUT)
                )
            finally:
                await first.stop()
                await second.stop()

        assert asyncio.run(run()) < self.LIMIT_MS
