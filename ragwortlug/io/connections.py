"""What the kernel knows of a connection before the event loop has read it."""

import select
import socket
import struct

MS_PER_S = 1000.0
# Offset of `tcpi_last_data_recv` in Linux's `struct tcp_info`, an unsigned int.
LAST_DATA_RECEIVED_OFFSET = 52
TCP_INFO_BYTES = 56


def is_closed_by_peer(transport):
    """Return whether the peer has closed or reset a connection.

    The event loop may not have read the end of the connection yet.

    Parameters
    ----------
    transport : asyncio.Transport or None
        None if the connection has ended.
    """
    if transport is None or transport.is_closing():
        return True
    poller = select.poll()
    poller.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return bool(poller.poll(0))


def unread_s(transport):
    """Return how long ago the latest bytes of a connection arrived, in seconds.

    Returns 0 if the connection has ended.
    """
    if transport is None or transport.is_closing():
        return 0.0
    info = transport.get_extra_info("socket").getsockopt(
        socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
    )
    (age_ms,) = struct.unpack_from("I", info, LAST_DATA_RECEIVED_OFFSET)
    return age_ms / MS_PER_S
