"""Guards the faults that the tests of the daemons rely on."""

import asyncio
import contextlib
import time

import pytest

from sassafrashold import settings
from sassafrashold.standins import _proxy


@pytest.fixture
async def link():
    """A link to an echo server."""

    async def echo(reader, writer):
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(1000):
                writer.write(data)
        writer.close()

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    made = _proxy.Link(
        "a",
        settings.Address("127.0.0.1", 0),
        settings.Address("127.0.0.1", port),
        seed=1,
    )
    await made.start()
    yield made
    await made.close()
    server.close()


async def _connect(link):
    port = link._server.sockets[0].getsockname()[1]
    return await asyncio.open_connection("127.0.0.1", port)


async def _echo(link, data=b"hello"):
    reader, writer = await _connect(link)
    writer.write(data)
    async with asyncio.timeout(5):
        return await reader.readexactly(len(data))


async def test_link_without_faults_carries_data_and_the_end(link):
    reader, writer = await _connect(link)
    writer.write(b"hello")
    writer.write_eof()
    async with asyncio.timeout(5):
        assert await reader.read() == b"hello"


@pytest.mark.parametrize(
    ("faults", "least_s"),
    [
        ({"delay_ms": 50}, 0.1),
        ({"late_percent": 100, "late_ms": 50}, 0.1),
        ({"trickle_bytes_per_second": 50}, 0.1),
    ],
)
async def test_slow_link_takes_its_time(link, faults, least_s):
    link.faults = link.faults.with_changes(faults)
    start = time.monotonic()
    assert await _echo(link) == b"hello"
    assert time.monotonic() - start >= least_s


async def test_cut_is_silent_and_heals(link):
    reader, writer = await _connect(link)
    link.faults = link.faults.with_changes({"cut": "to_client"})
    writer.write(b"hello")
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.1):
            await reader.read(1)
    assert link.bytes_by_direction == {"to_target": 5, "to_client": 0}
    link.faults = _proxy.Faults()
    async with asyncio.timeout(5):
        assert await reader.readexactly(5) == b"hello"


async def test_disconnect_resets_open_connections(link):
    reader, writer = await _connect(link)
    writer.write(b"x")
    await reader.readexactly(1)
    link.disconnect()
    with pytest.raises(ConnectionResetError):
        async with asyncio.timeout(5):
            await reader.readexactly(1)


async def test_duplicate_repeats_chunks(link):
    link.faults = link.faults.with_changes({"duplicate_percent": 100})
    reader, writer = await _connect(link)
    writer.write(b"x")
    async with asyncio.timeout(5):
        assert await reader.readexactly(4) == b"xxxx"


def test_unknown_or_wrong_fault_is_refused():
    for changes in ({"x": 1}, {"cut": "left"}, {"delay_ms": -1}):
        with pytest.raises(ValueError):
            _proxy.Faults().with_changes(changes)
