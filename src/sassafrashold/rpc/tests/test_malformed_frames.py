"""Guards both sides of a connection against generated frames.

Whatever a peer sends, the other side ends at most that connection and the calls
on it, with an error of its own.
"""

import asyncio
import contextlib
import datetime

import hypothesis
from hypothesis import strategies as st

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import rpc
from sassafrashold import settings
from sassafrashold import wire
from sassafrashold.rpc import _frames
from sassafrashold.tests import spoiled_bytes

_CLOCK = clock_lib.SystemClock()
_ANY_PORT = settings.Address("127.0.0.1", 0)
_KINDS = wire.messages.FrameKind
_FRAMES = [
    _frames.pack(
        wire.messages.Frame(
            correlation_id=number,
            kind=kind,
            method="echo",
            body=b"body",
            traceparent="00-1-2-01",
            deadline_unix_ms=4_000_000_000_000,
            error=wire.error_to_wire(
                errors.RpcError(errors.ErrorCode.OVERLOADED, "full")
            ),
        )
    )
    for number in (0, 1, 2)
    for kind in (
        _KINDS.REQUEST,
        _KINDS.ITEM,
        _KINDS.RESPONSE,
        _KINDS.ERROR,
        _KINDS.CANCEL,
    )
]
_INSERTED = st.binary(max_size=8) | st.sampled_from(
    [b"\x00" * 4, b"\xff" * 4, b"\xff" * 10, b"\x00\x00\x00\x05", b"\x1c" * 64]
)
_SPOILED_FRAMES = spoiled_bytes.spoiled(
    _FRAMES, _INSERTED, most=4, changes=3, removed=4
)


async def _echo(_context, body):
    return body


@contextlib.contextmanager
def _no_unhandled_errors():
    """Fails if a task or a callback ended with an error that nobody took."""
    unhandled = []
    asyncio.get_running_loop().set_exception_handler(
        lambda _loop, context: unhandled.append(context)
    )
    yield
    assert unhandled == []


def _deadline(seconds):
    return _CLOCK.now() + datetime.timedelta(seconds=seconds)


@hypothesis.given(_SPOILED_FRAMES, st.integers(1, 40))
@hypothesis.settings(deadline=None)
def test_any_bytes_end_only_their_own_connection_of_a_server(data, piece):
    async def play():
        with _no_unhandled_errors():
            server = rpc.Server({"echo": _echo}, _CLOCK)
            client = rpc.Client(await server.start(_ANY_PORT), _CLOCK)
            address = client.address
            assert await client.call("echo", b"1", deadline=_deadline(5))
            reader, writer = await asyncio.open_connection(
                address.ip, address.port
            )
            with contextlib.suppress(ConnectionError):
                for start in range(0, len(data), piece):
                    writer.write(data[start : start + piece])
                    await writer.drain()
                writer.write_eof()
                await asyncio.wait_for(reader.read(), 5)
            writer.close()
            assert await client.call("echo", b"2", deadline=_deadline(5))
            await client.close()
            await server.close()

    asyncio.run(play())


@hypothesis.given(_SPOILED_FRAMES, st.integers(1, 40), st.booleans())
@hypothesis.settings(deadline=None)
def test_any_bytes_of_a_server_end_each_call_once(data, piece, closes):
    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readexactly(1)
            for start in range(0, len(data), piece):
                writer.write(data[start : start + piece])
                await writer.drain()
            if not closes:
                await reader.read()
        writer.close()
        with contextlib.suppress(ConnectionError):
            await writer.wait_closed()

    async def play():
        with _no_unhandled_errors():
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            client = rpc.Client(settings.Address("127.0.0.1", port), _CLOCK)
            for _ in range(2):
                try:
                    await client.call("echo", b"x", deadline=_deadline(0.05))
                except errors.RpcError:
                    continue
            await client.close()
            server.close()
            # The server's tasks end before their event loop.
            await asyncio.sleep(0.005)

    asyncio.run(play())
