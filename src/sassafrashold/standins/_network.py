"""Loopback networks that parallel runs on one machine do not share."""

from collections.abc import Iterator
import contextlib
import socket

_FIRST = 10
_LAST = 250
_LOCK_PORT = 6999


@contextlib.contextmanager
def reserved_network() -> Iterator[int]:
    """Reserves a second octet (127.N.x.x) for the time of a block.

    The reservation is a bound socket, so it ends with the process.

    Raises:
        OSError: All networks are in use.
    """
    for network in range(_FIRST, _LAST + 1):
        lock = socket.socket()
        try:
            lock.bind((f"127.{network}.0.1", _LOCK_PORT))
        except OSError:
            lock.close()
            continue
        try:
            yield network
        finally:
            lock.close()
        return
    raise OSError("no free loopback network")
