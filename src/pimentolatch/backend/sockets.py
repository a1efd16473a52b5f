"""Options and state of TCP sockets."""

import datetime
import fcntl
import socket
import struct
import termios

from pimentolatch.decisions import request_delivery

__all__ = [
    "enable_keepalive",
    "reset_on_close",
    "since_last_data",
    "transmission",
    "unread_bytes",
]

# Probes free the sockets of peers that are gone. They end a connection a minute after
# the last byte received at the earliest: later than a request on it times out, since a
# connection that was ended by the kernel can no longer be reset.
_PROBE_AFTER_S = 15
_PROBE_EVERY_S = 15
_PROBES = 3
# SO_LINGER with zero time: closing discards unsent data and resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_C_INT = struct.Struct("i")
# Offset of `tcpi_unacked` in Linux's `struct tcp_info`: eight bytes, then four words.
_UNACKED_OFFSET = 24
_UNACKED = struct.Struct("I")
# Offset of `tcpi_last_data_recv`, in milliseconds; seven words later.
_LAST_DATA_OFFSET = 52
_LAST_DATA = struct.Struct("I")


def reset_on_close(sock: socket.socket) -> None:
    """Have a connection reset whenever it is closed.

    Otherwise the kernel would continue to send buffered parts of a request after the
    close. During a partition of six seconds, a request that had been given up and
    answered elsewhere reached its first server once the partition healed, and that
    server had been removed meanwhile. The option is set when the connection opens,
    because a connection closed by its server is closed by the event loop, in order.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)


def enable_keepalive(sock: socket.socket) -> None:
    """Have the kernel end the connection if its peer is gone."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, _PROBE_AFTER_S),
        (socket.TCP_KEEPINTVL, _PROBE_EVERY_S),
        (socket.TCP_KEEPCNT, _PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def transmission(sock: socket.socket) -> request_delivery.Transmission:
    """Return what the socket has not delivered to its peer's kernel."""
    queued = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(_C_INT.size))
    info = sock.getsockopt(
        socket.IPPROTO_TCP, socket.TCP_INFO, _UNACKED_OFFSET + _UNACKED.size
    )
    return request_delivery.Transmission(
        unacknowledged_bytes=_C_INT.unpack(queued)[0],
        segments_in_flight=_UNACKED.unpack_from(info, _UNACKED_OFFSET)[0],
    )


def since_last_data(sock: socket.socket) -> datetime.timedelta:
    """Return how long ago the kernel received the last data of the peer."""
    info = sock.getsockopt(
        socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_DATA_OFFSET + _LAST_DATA.size
    )
    passed_ms = _LAST_DATA.unpack_from(info, _LAST_DATA_OFFSET)[0]
    return datetime.timedelta(milliseconds=passed_ms)


def unread_bytes(sock: socket.socket) -> int:
    """Return how many bytes the kernel has received and this process has not read."""
    unread = fcntl.ioctl(sock, termios.FIONREAD, bytes(_C_INT.size))
    return int(_C_INT.unpack(unread)[0])
