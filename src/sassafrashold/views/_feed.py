"""The subscription of a process to its local control."""

import asyncio
import datetime
import logging

import reactivex
from reactivex import subject

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import rpc
from sassafrashold import wire
from sassafrashold.views import _view

_LOGGER = logging.getLogger(__name__)
_RETRY_DELAY_S = 0.2
_SUBSCRIPTION_DEADLINE = datetime.timedelta(hours=1)


class Feed:
    """Keeps a `View` up to date and publishes each new one.

    While control is unreachable, the last view stays in use.
    """

    def __init__(
        self, client: rpc.Client, process: str, clock: clock_lib.Clock
    ) -> None:
        """Initializes the feed.

        Args:
            client: Client of the local control.
            process: Name of this process, shown in control's status.
            clock: The clock.
        """
        self._client = client
        self._process = process
        self._clock = clock
        self._subject = subject.BehaviorSubject(_view.View())
        self._disconnected_since: datetime.timedelta | None = clock.monotonic()

    @property
    def current(self) -> _view.View:
        """The newest view."""
        view: _view.View = self._subject.value
        return view

    @property
    def views(self) -> reactivex.Observable[_view.View]:
        """Emits the current view and each later one."""
        return self._subject

    def disconnected_for(self) -> datetime.timedelta:
        """Returns the time without a subscription; zero if subscribed."""
        if self._disconnected_since is None:
            return datetime.timedelta()
        return self._clock.monotonic() - self._disconnected_since

    def apply(self, key: str, version: int, value: bytes) -> None:
        """Applies an object if it is newer; logs and ignores an invalid one."""
        try:
            view = self.current.with_object(
                key, version, value, self._clock.monotonic()
            )
        except errors.SassafrasError as error:
            _LOGGER.error(
                "ignored an unreadable object",
                extra={"key": key, "version": version, "error": str(error)},
            )
            return
        if view is not self.current:
            self._subject.on_next(view)

    async def run(self) -> None:
        """Subscribes and resubscribes until cancelled."""
        while True:
            try:
                await self._subscribe()
            except errors.RpcError as error:
                if self._disconnected_since is None:
                    _LOGGER.warning(
                        "lost the subscription to control",
                        extra={"code": error.code.value},
                    )
                    self._disconnected_since = self._clock.monotonic()
            await asyncio.sleep(_RETRY_DELAY_S)

    async def _subscribe(self) -> None:
        request = wire.encode(
            wire.messages.SubscribeRequest(process=self._process, prefixes=[])
        )
        async for item in self._client.stream(
            "subscribe",
            request,
            deadline=self._clock.now() + _SUBSCRIPTION_DEADLINE,
        ):
            self._disconnected_since = None
            self._receive(item)

    def _receive(self, item: bytes) -> None:
        try:
            message = wire.decode(wire.messages.ViewObject, item)
        except wire.CodecError as error:
            _LOGGER.error(
                "ignored a malformed view message", extra={"error": str(error)}
            )
            return
        self.apply(message.key, message.version, message.value)
