"""Requests that wait in the kernel until an entry reads them."""

import asyncio
import socket
import time

import uvloop

from ragwortlug.io.connections import unread_s
from tests.test_platform import HOST, free_ports

UNREAD_S = 0.2


class TestKernel:
    """What the kernel knows of a connection."""

    def run_with_connection(self, use):
        """Call ``use(transport, connection)`` with both ends of a connection."""

        async def scenario():
            accepted = asyncio.get_running_loop().create_future()

            class Accepted(asyncio.Protocol):
                def connection_made(self, transport):
                    accepted.set_result(transport)

            (port,) = free_ports(1)
            loop = asyncio.get_running_loop()
            server = await loop.create_server(Accepted, HOST, port)
            connection = socket.create_connection((HOST, port))
            transport = await accepted
            use(transport, connection)
            connection.close()
            transport.abort()
            server.close()

        uvloop.run(scenario())

    def test_the_time_that_bytes_lie_unread_is_known(self):
        def use(transport, connection):
            connection.sendall(b"unread")
            time.sleep(UNREAD_S)
            assert unread_s(transport) >= 0.9 * UNREAD_S

        self.run_with_connection(use)
