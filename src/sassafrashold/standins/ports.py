"""Ports for processes that tests start and that bind them later."""

import itertools
import pathlib
import random
import socket

_RANGE_FILE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")
# Linux gives outgoing connections ports from here on by default.
_DEFAULT_FIRST_EPHEMERAL = 32768
_LOWEST = 10240


def first_ephemeral() -> int:
    """Returns the lowest port that outgoing connections may get."""
    try:
        return int(_RANGE_FILE.read_text(encoding="utf-8").split()[0])
    except (OSError, ValueError, IndexError):
        return _DEFAULT_FIRST_EPHEMERAL


class PortSource:
    """Hands out each port once, outside the ephemeral range.

    A port of that range may be taken by an outgoing connection between the
    moment it is handed out and the moment a started process binds it.
    """

    def __init__(self, random_source: random.Random) -> None:
        """Initializes the source.

        Args:
            random_source: Where to begin, so that test runs side by side
                rarely try the same ports.
        """
        ports = list(range(_LOWEST, max(first_ephemeral(), _LOWEST + 1)))
        start = random_source.randrange(len(ports))
        self._ports = itertools.cycle(ports[start:] + ports[:start])

    def take(self) -> int:
        """Returns a port of the loopback address that is free now."""
        for port in self._ports:
            with socket.socket() as sock:
                # As servers do; old connections of a test are no obstacle.
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    sock.bind(("127.0.0.1", port))
                except OSError:
                    continue
                return port
        raise AssertionError("the ports are cycled without end")


_SOURCE = PortSource(random.Random())


def free_port() -> int:
    """Returns a port that this process has not handed out lately."""
    return _SOURCE.take()
