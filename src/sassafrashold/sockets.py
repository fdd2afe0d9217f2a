"""TCP sockets: listeners, and streams that notice a peer which is gone."""

import dataclasses
import datetime
import socket

from sassafrashold import settings

# A connection that went silent is found within idle + interval * probes.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
# Unacknowledged data ends a connection after this time.
_USER_TIMEOUT_MS = 2000
# Callers that connect while the program is loaded wait in this queue.
_BACKLOG = 1024


@dataclasses.dataclass(frozen=True)
class Listeners:
    """Listening sockets that are open before the daemon is loaded."""

    clients: socket.socket
    """Where callers connect."""

    readiness: socket.socket
    """Where the balancer asks whether callers may be sent here."""

    opened: datetime.timedelta
    """Monotonic time since when callers can connect."""


def listening_socket(address: settings.Address) -> socket.socket:
    """Returns a socket that takes connections from now on.

    Raises:
        OSError: The address is in use or not of this host.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((address.ip, address.port))
        sock.listen(_BACKLOG)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock


def prepare(sock: socket.socket) -> socket.socket:
    """Sets the options on a stream socket and returns it."""
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
    """Returns a new IPv4 stream socket with the options set."""
    return prepare(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
