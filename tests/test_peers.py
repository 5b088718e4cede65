"""Messages between processes: nothing that has come waits for something else."""

import asyncio

import pytest

from ragwortlug.envelope import Peer
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
