"""TCP listeners, and stream sockets that detect dead peers."""

import dataclasses
import datetime
import socket

from sassafrashold import settings

# A dead idle connection is detected within idle + interval * probes.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
# A connection is closed if sent data stays unacknowledged for this time.
_USER_TIMEOUT_MS = 2000
# Holds the connections of callers while the daemon is still being loaded.
_LISTEN_BACKLOG = 1024


@dataclasses.dataclass(frozen=True)
class Listeners:
    """Listening sockets, opened before the daemon is loaded."""

    clients: socket.socket
    """Listener for callers."""

    readiness: socket.socket
    """Listener for the load balancer's readiness checks."""

    opened: datetime.timedelta
    """Monotonic time at which the listeners were opened."""


def listening_socket(address: settings.Address) -> socket.socket:
    """Returns a non-blocking socket that already listens.

    Raises:
        OSError: The address is in use or does not belong to this host.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((address.ip, address.port))
        sock.listen(_LISTEN_BACKLOG)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock


def set_stream_options(sock: socket.socket) -> socket.socket:
    """Sets keep-alive and time-out options on a socket and returns it."""
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_NODELAY, 1),
        (socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    return sock


def stream_socket() -> socket.socket:
    """Returns a new IPv4 stream socket, prepared as by `set_stream_options`."""
    return set_stream_options(socket.socket(socket.AF_INET, socket.SOCK_STREAM))


def is_connected(sock: socket.socket) -> bool:
    """Returns whether a TCP socket is connected."""
    try:
        sock.getpeername()
    except OSError:
        return False
    return True
