"""The HTTP side of the platform stand-in (protocol: docs/design.md, 4.4)."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import random
import re
from typing import Any

from aiohttp import web

from sassafrashold import clock as clock_lib
from sassafrashold.standins import _platform_faults
from sassafrashold.standins import _store

_ETAG = re.compile(r'^"(\d+)"$')
_WAIT = re.compile(r"wait=(\d+(?:\.\d+)?)")
_MAX_WAIT_S = 60.0
_HANG_S = 3600.0

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Platform:
    """Object store and host list over HTTP."""

    def __init__(
        self,
        store: _store.Store,
        hosts: _store.HostList,
        clock: clock_lib.Clock,
        seed: int,
    ) -> None:
        self.store = store
        self.hosts = hosts
        self.faults = _platform_faults.Faults()
        self.count_by_kind: collections.Counter[str] = collections.Counter()
        self.count_by_key: collections.Counter[str] = collections.Counter()
        self._random = random.Random(seed)
        self._reads = _platform_faults.RateLimit(clock)
        self._writes = _platform_faults.RateLimit(clock)
        self._changed_by_key: dict[str, asyncio.Event] = {}

    def application(self) -> web.Application:
        """Returns the HTTP application."""
        application = web.Application(
            middlewares=[self._inject_faults],
            client_max_size=2 * _store.MAX_VALUE_BYTES,
        )
        application.add_routes(
            [
                web.get("/v1/objects", self._list),
                web.get("/v1/objects/{key:.+}", self._get),
                web.put("/v1/objects/{key:.+}", self._put),
                web.delete("/v1/objects/{key:.+}", self._delete),
                web.get("/v1/hosts", self._hosts),
            ]
        )
        return application

    @web.middleware
    async def _inject_faults(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        kind = _kind(request)
        self.count_by_kind[kind] += 1
        self.count_by_key[f"{kind} {request.match_info.get('key', '')}"] += 1
        faults = self.faults
        delay_ms = faults.slow_ms
        delay_ms += self._random.random() * faults.slow_jitter_ms
        if delay_ms > 0:
            await asyncio.sleep(delay_ms / 1000)
        match self.faults.down:
            case "error":
                return web.Response(status=503, text="the platform is down")
            case "close":
                return _close(request)
            case "hang":
                await asyncio.sleep(_HANG_S)
        is_write = kind in ("put", "delete")
        limit = self._writes if is_write else self._reads
        rate = faults.writes_per_second if is_write else faults.reads_per_second
        if not limit.allows(rate):
            self.count_by_kind["rate_limited"] += 1
            return web.Response(status=429, headers={"Retry-After": "1"})
        return await handler(request)

    async def _get(self, request: web.Request) -> web.StreamResponse:
        key = request.match_info["key"]
        known = _etag(request.headers.get("If-None-Match"))
        state = self._read(key)
        wait = _WAIT.search(request.headers.get("Prefer", ""))
        if known is not None and state.visible == known and wait:
            state = await self._wait(
                key, known, min(float(wait[1]), _MAX_WAIT_S)
            )
            # A platform that went down meanwhile does not answer its watches.
            if self.faults.down is not None:
                return _close(request)
        if state.value is None:
            if known == 0 and wait:
                return web.Response(status=304, headers={"ETag": '"0"'})
            return web.Response(status=404)
        headers = {"ETag": f'"{state.version}"'}
        if known == state.version:
            return web.Response(status=304, headers=headers)
        return web.Response(body=state.value, headers=headers)

    def _read(self, key: str) -> _store.Version:
        faults = self.faults
        stale = (
            faults.stale_ms > 0
            and key.startswith(faults.key_prefix)
            and self._random.random() * 100 < faults.stale_percent
        )
        if not stale:
            return self.store.get(key)
        self.count_by_kind["stale"] += 1
        return self.store.get(key, clock_lib.from_ms(int(faults.stale_ms)))

    async def _wait(
        self, key: str, known: int, seconds: float
    ) -> _store.Version:
        """Waits until an object is at another version than `known`."""
        try:
            async with asyncio.timeout(seconds):
                while self.store.get(key).visible == known:
                    changed = self._changed_by_key.setdefault(
                        key, asyncio.Event()
                    )
                    await changed.wait()
        except TimeoutError:
            pass
        return self.store.get(key)

    async def _put(self, request: web.Request) -> web.StreamResponse:
        value = await request.read()
        if len(value) > _store.MAX_VALUE_BYTES:
            return web.Response(
                status=413,
                text=f"at most {_store.MAX_VALUE_BYTES} bytes",
            )
        return await self._write(request, value)

    async def _delete(self, request: web.Request) -> web.StreamResponse:
        key = request.match_info["key"]
        if self.store.get(key).value is None and "If-Match" not in (
            request.headers
        ):
            return web.Response(status=404)
        return await self._write(request, None)

    async def _write(
        self, request: web.Request, value: bytes | None
    ) -> web.StreamResponse:
        key = request.match_info["key"]
        expected = _etag(request.headers.get("If-Match"))
        if request.headers.get("If-None-Match") == "*":
            expected = 0
        fate, self.faults = _platform_faults.draw_write_fate(
            self.faults, key, self._random
        )
        if not fate.takes_effect:
            self.count_by_kind["lost_requests"] += 1
            return _close(request)
        if not fate.answered:
            self.count_by_kind["lost_answers"] += 1
            if self.faults.lost_delay_ms > 0:
                asyncio.get_running_loop().call_later(
                    self.faults.lost_delay_ms / 1000,
                    self.change,
                    key,
                    value,
                    expected,
                )
            else:
                self.change(key, value, expected)
            return _close(request)
        state = self.change(key, value, expected)
        if state is None:
            self.count_by_kind["conflicts"] += 1
            current = self.store.get(key).visible
            return web.Response(status=412, headers={"ETag": f'"{current}"'})
        headers = {"ETag": f'"{state.version}"'}
        return web.Response(
            status=204 if value is None else 200, headers=headers
        )

    def change(
        self, key: str, value: bytes | None, expected: int | None
    ) -> _store.Version | None:
        """Writes an object and wakes its watches."""
        state = self.store.change(key, value, expected)
        if state is not None:
            changed = self._changed_by_key.pop(key, None)
            if changed is not None:
                changed.set()
        return state

    async def _list(self, request: web.Request) -> web.StreamResponse:
        prefix = request.query.get("prefix", "")
        return web.json_response(
            {
                "objects": [
                    {"key": key, "version": version}
                    for key, version in self.store.list_versions(prefix)
                ]
            }
        )

    async def _hosts(self, _: web.Request) -> web.StreamResponse:
        as_of_ms, lines = self.hosts.shown()
        return web.json_response(
            {"as_of_unix_ms": as_of_ms, "hosts": encode_hosts(lines)}
        )


def encode_hosts(lines: tuple[_store.HostLine, ...]) -> list[dict[str, str]]:
    """Returns the JSON form of host lines."""
    return [
        {"host": line.host, "zone": line.zone, "state": line.state}
        for line in lines
    ]


def decode_hosts(value: Any) -> tuple[_store.HostLine, ...]:
    """Parses host lines.

    Raises:
        ValueError: The value is not a list of hosts.
    """
    try:
        lines = tuple(
            _store.HostLine(line["host"], line["zone"], line["state"])
            for line in value
        )
    except (TypeError, KeyError) as error:
        raise ValueError(f"hosts: {error!r}") from error
    if any(line.state not in ("live", "leaving") for line in lines):
        raise ValueError("state: expected live or leaving")
    return lines


def _kind(request: web.Request) -> str:
    """Names the kind of a call for the counts."""
    if request.path == "/v1/hosts":
        return "hosts"
    if request.method == "GET" and "key" not in request.match_info:
        return "list"
    if request.method == "GET" and "wait=" in request.headers.get("Prefer", ""):
        return "watch"
    return request.method.lower()


def _etag(header: str | None) -> int | None:
    match = _ETAG.match(header or "")
    return None if match is None else int(match[1])


def _close(request: web.Request) -> web.Response:
    """Closes the connection without an answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)
