"""Tests that a planned stop leaves no call in doubt."""

import asyncio
import datetime

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import rpc
from sassafrashold import settings

_CLOCK = clock_lib.SystemClock()
_ANY_PORT = settings.Address("127.0.0.1", 0)
_PATIENCE = datetime.timedelta(seconds=5)


class _Peer:
    """A server that refuses what arrives while it leaves."""

    def __init__(self):
        self.leaving = False
        self.runs = 0
        self.server = rpc.Server({"run": self._run}, _CLOCK)

    async def start(self):
        address = await self.server.start(_ANY_PORT)
        return rpc.Client(address, _CLOCK)

    async def stop(self, timeout=_PATIENCE):
        self.leaving = True
        await self.server.drain(timeout)
        await self.server.close()

    async def _run(self, context, body):
        if self.leaving:
            raise errors.LeafError(errors.ErrorCode.LEAVING, "leaving")
        self.runs += 1
        await asyncio.sleep(float(body or 0))
        return b"done"


async def _outcome(client, seconds=0.0):
    deadline = _CLOCK.now() + datetime.timedelta(seconds=5)
    try:
        return await client.call("run", b"%f" % seconds, deadline=deadline)
    except errors.SassafrasError as error:
        return error.ran


async def test_calls_on_their_way_at_a_planned_stop_did_not_run():
    peer = _Peer()
    client = await peer.start()
    assert await _outcome(client) == b"done"
    calls = [asyncio.create_task(_outcome(client)) for _ in range(20)]
    # The calls are sent, and the server has not read them.
    await asyncio.sleep(0)
    await peer.stop()
    assert set(await asyncio.gather(*calls)) == {errors.Ran.NOT_RUN}
    assert peer.runs == 1
    await client.close()


async def test_callers_that_go_on_calling_are_never_left_in_doubt():
    peer = _Peer()
    clients = [await peer.start()]
    clients += [rpc.Client(clients[0].address, _CLOCK) for _ in range(4)]
    outcomes = []
    stopped = asyncio.Event()

    async def call_without_pause(client):
        while not stopped.is_set():
            outcomes.append(await _outcome(client))
            await asyncio.sleep(0)

    callers = [asyncio.create_task(call_without_pause(c)) for c in clients]
    await asyncio.sleep(0.05)
    await peer.stop(datetime.timedelta(milliseconds=200))
    stopped.set()
    await asyncio.wait_for(asyncio.gather(*callers), 5)
    assert set(outcomes) == {b"done", errors.Ran.NOT_RUN}
    for client in clients:
        await client.close()


async def test_calls_under_way_at_a_planned_stop_are_answered():
    peer = _Peer()
    client = await peer.start()
    call = asyncio.create_task(_outcome(client, 0.2))
    while not peer.runs:  # noqa: ASYNC110 - the peer counts in a plain field
        await asyncio.sleep(0.01)
    begin = _CLOCK.monotonic()
    await peer.stop()
    assert await call == b"done"
    assert _CLOCK.monotonic() - begin < datetime.timedelta(seconds=2)
    await client.close()


async def test_planned_stop_does_not_wait_for_callers_that_stay():
    peer = _Peer()
    client = await peer.start()
    reader, writer = await asyncio.open_connection(
        client.address.ip, client.address.port
    )
    await asyncio.sleep(0.05)
    begin = _CLOCK.monotonic()
    await peer.stop(datetime.timedelta(milliseconds=200))
    assert _CLOCK.monotonic() - begin < datetime.timedelta(seconds=3)
    assert b"LEAVING" in await asyncio.wait_for(reader.read(), 5)
    writer.close()


async def test_client_calls_the_next_process_on_the_address():
    peer = _Peer()
    client = await peer.start()
    assert await _outcome(client) == b"done"
    await peer.stop()
    successor = rpc.Server({"run": _Peer()._run}, _CLOCK)
    await successor.start(client.address)
    assert await _outcome(client) == b"done"
    await client.close()
    await successor.close()
