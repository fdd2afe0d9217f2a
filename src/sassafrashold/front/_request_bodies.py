"""Reads the bodies of callers' requests within bounds on their size."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib

from aiohttp import web


class BodyTooLargeError(Exception):
    """The body of a request is larger than a request may be."""


class BodiesFullError(Exception):
    """The bodies of all open requests together are too large."""


class RequestBodies:
    """Bounds each body, and all bodies of open requests together.

    Many callers that each send a body of the allowed size would otherwise
    exceed the memory of the host, which ends the process and all its requests.
    """

    def __init__(self, max_bytes: int, body_limit: Callable[[], int]) -> None:
        """Initializes the bounds.

        Args:
            max_bytes: Maximum size of all bodies together.
            body_limit: Returns the maximum size of one body.
        """
        self._max_bytes = max_bytes
        self._body_limit = body_limit
        self.total = 0

    @contextlib.contextmanager
    def open(self) -> Iterator["OpenBody"]:
        """Provides the body of one request, which counts until the end."""
        body = OpenBody(self)
        try:
            yield body
        finally:
            self.total -= body.size

    def check_size(self, size: int) -> None:
        """Checks the size of one body.

        Raises:
            BodyTooLargeError: It is above the limit in force.
        """
        if size > min(self._body_limit(), self._max_bytes):
            raise BodyTooLargeError

    def add(self, size: int) -> None:
        """Counts received bytes.

        Raises:
            BodiesFullError: All bodies together would be too large.
        """
        if self.total + size > self._max_bytes:
            raise BodiesFullError
        self.total += size


class OpenBody:
    """The body of one open request."""

    def __init__(self, bodies: RequestBodies) -> None:
        self._bodies = bodies
        self.size = 0

    async def read(self, message: web.BaseRequest) -> bytes:
        """Reads the whole body.

        Args:
            message: Request whose head was read.

        Raises:
            BodyTooLargeError: The body is, or is announced to be, too large.
            BodiesFullError: There is no memory for it now.
        """
        self._bodies.check_size(message.content_length or 0)
        pieces = []
        async for piece in message.content.iter_any():
            self._bodies.check_size(self.size + len(piece))
            self._bodies.add(len(piece))
            self.size += len(piece)
            pieces.append(piece)
        return b"".join(pieces)
