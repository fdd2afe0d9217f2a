import asyncio
import contextlib
import datetime
import struct

import pytest

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import rpc
from sassafrashold import settings

_CLOCK = clock_lib.SystemClock()
_ANY_PORT = settings.Address("127.0.0.1", 0)


def _deadline_in(seconds):
    return _CLOCK.now() + datetime.timedelta(seconds=seconds)


@contextlib.asynccontextmanager
async def _serving(**handlers):
    server = rpc.Server(handlers, _CLOCK)
    client = rpc.Client(await server.start(_ANY_PORT), _CLOCK)
    try:
        yield server, client
    finally:
        await client.close()
        await server.close()


async def _delayed_echo(context, body):
    await asyncio.sleep(0.001 * (50 - int(body)))
    return body


async def test_out_of_order_responses_reach_their_calls():
    async with _serving(echo=_delayed_echo) as (_, client):
        results = await asyncio.gather(
            *(
                client.call("echo", b"%d" % i, deadline=_deadline_in(5))
                for i in range(50)
            )
        )
    assert results == [b"%d" % i for i in range(50)]


async def test_late_response_is_not_delivered_to_later_call():
    async def slow(context, body):
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(0.2)
        # The server cancels at the deadline, up to 1 ms before the caller
        # gives up; an immediate response would be in time.
        await asyncio.sleep(0.05)
        return b"late"

    async with _serving(slow=slow, echo=_delayed_echo) as (_, client):
        with pytest.raises(errors.RpcError) as caught:
            await client.call("slow", b"", deadline=_deadline_in(0.05))
        assert caught.value.code is errors.ErrorCode.DEADLINE_EXCEEDED
        assert caught.value.ran is errors.Ran.OUTCOME_UNKNOWN
        assert await client.call("echo", b"7", deadline=_deadline_in(5)) == b"7"


async def test_closing_a_stream_early_cancels_its_handler():
    cancelled = asyncio.Event()

    async def count(context, body):
        try:
            for i in range(10):
                await context.emit(b"%d" % i)
                await asyncio.sleep(0 if i < 2 else 60)
        except asyncio.CancelledError:
            cancelled.set()
            raise
        return b"end"

    async with _serving(count=count) as (_, client):
        async with contextlib.aclosing(
            client.stream("count", b"", deadline=_deadline_in(5))
        ) as items:
            assert [await anext(items), await anext(items)] == [b"0", b"1"]
        await asyncio.wait_for(cancelled.wait(), 5)


@pytest.mark.parametrize(
    "garbage",
    [
        struct.pack(">I", 2**31) + b"x",
        struct.pack(">I", 3) + b"\xff\xff\xff",
        struct.pack(">I", 0),
        b"GET / HTTP/1.1\r\n\r\n",
    ],
)
async def test_a_malformed_frame_closes_only_its_own_connection(garbage):
    async with _serving(echo=_delayed_echo) as (_, client):
        assert await client.call("echo", b"1", deadline=_deadline_in(5)) == b"1"
        reader, writer = await asyncio.open_connection(
            client.address.ip, client.address.port
        )
        writer.write(garbage)
        answer = await asyncio.wait_for(reader.read(), 5)
        assert b"BAD_FRAME" in answer or b"FRAME_TOO_LARGE" in answer
        writer.close()
        assert await client.call("echo", b"2", deadline=_deadline_in(5)) == b"2"


async def test_not_run_is_reported_only_when_certain():
    async def fail(context, body):
        raise RuntimeError("after some work")

    async def drop(context, body):
        await server.close()
        await asyncio.sleep(5)
        return b""

    async with _serving(fail=fail, drop=drop) as (server, client):
        cases = [
            ("fail", errors.ErrorCode.INTERNAL, errors.Ran.OUTCOME_UNKNOWN),
            ("none", errors.ErrorCode.UNKNOWN_METHOD, errors.Ran.NOT_RUN),
            (
                "drop",
                errors.ErrorCode.CONNECTION_LOST,
                errors.Ran.OUTCOME_UNKNOWN,
            ),
            ("fail", errors.ErrorCode.UNAVAILABLE, errors.Ran.NOT_RUN),
        ]
        for method, code, ran in cases:
            with pytest.raises(errors.RpcError) as caught:
                await client.call(method, b"", deadline=_deadline_in(5))
            assert (caught.value.code, caught.value.ran) == (code, ran)
