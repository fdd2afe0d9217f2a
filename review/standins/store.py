"""Stand-in of the store that can be silent: it never answers what it drops."""

import asyncio
from typing import Any

from aiohttp import web

from sassafrashold.standins import objects_store


class SilentStore(objects_store.ObjectsStore):
    """The project's stand-in; while `drops_calls`, calls get no answer.

    Their connections stay open. Calls from before, such as watches that wait,
    are answered as usual.
    """

    def __init__(self) -> None:
        """Initializes a store that answers."""
        super().__init__()
        self.drops_calls = False
        self.dropped: list[str] = []

    @web.middleware
    async def _inject_faults(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        if self.drops_calls:
            self.dropped.append(request.path_qs)
            # Cancelled when the caller closes the connection.
            await asyncio.Event().wait()
        response: web.StreamResponse = await handler(request)
        return response
