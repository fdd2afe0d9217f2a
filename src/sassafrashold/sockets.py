"""Options of TCP sockets that notice a peer which is gone."""

import socket

# A connection that went silent is found within idle + interval * probes.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
# Unacknowledged data ends a connection after this time.
_USER_TIMEOUT_MS = 2000


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
