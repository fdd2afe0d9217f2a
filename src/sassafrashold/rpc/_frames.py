"""Encoding and decoding of length-prefixed frames."""

import asyncio
import socket
import struct
from typing import Any

from sassafrashold import errors
from sassafrashold import wire

MAX_FRAME_BYTES = 4 * 1024 * 1024
# Not the id of a call: the frame concerns the connection.
_CONNECTION_ID = 0
_LENGTH_PREFIX = struct.Struct(">I")

# A peer that disappears without a reset is detected within about 5 s.
_USER_TIMEOUT_MS = 5000
_KEEPALIVE_IDLE_S = 2
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 3


def pack(frame: Any) -> bytes:
    """Returns the encoded frame with its length prefix.

    Raises:
        RpcError: FRAME_TOO_LARGE; nothing was sent.
    """
    data = wire.encode(frame)
    if len(data) > MAX_FRAME_BYTES:
        raise errors.RpcError(
            errors.ErrorCode.FRAME_TOO_LARGE,
            f"message has {len(data)} bytes, at most {MAX_FRAME_BYTES}",
        )
    return _LENGTH_PREFIX.pack(len(data)) + data


async def read(reader: asyncio.StreamReader) -> Any:
    """Reads one frame.

    Raises:
        RpcError: BAD_FRAME or FRAME_TOO_LARGE; the connection is unusable.
        asyncio.IncompleteReadError, OSError: The connection ended.
    """
    (length,) = _LENGTH_PREFIX.unpack(
        await reader.readexactly(_LENGTH_PREFIX.size)
    )
    if length > MAX_FRAME_BYTES:
        raise errors.RpcError(
            errors.ErrorCode.FRAME_TOO_LARGE,
            f"frame of {length} bytes announced, at most {MAX_FRAME_BYTES}",
        )
    data = await reader.readexactly(length)
    try:
        return wire.decode(wire.messages.Frame, data)
    except wire.CodecError as error:
        raise errors.RpcError(errors.ErrorCode.BAD_FRAME, str(error)) from error


def leaving_notice() -> bytes:
    """Returns the packed frame that announces that this process leaves.

    A client that gets it sends no more calls on the connection and closes it
    once its pending calls have ended.
    """
    return pack(
        wire.messages.Frame(
            correlation_id=_CONNECTION_ID,
            kind=wire.messages.FrameKind.ERROR,
            error=wire.error_to_wire(
                errors.RpcError(
                    errors.ErrorCode.LEAVING, "this process is leaving"
                )
            ),
        )
    )


def is_leaving_notice(frame: Any) -> bool:
    """Returns whether a frame announces that the peer leaves."""
    return (
        frame.correlation_id == _CONNECTION_ID
        and frame.kind == wire.messages.FrameKind.ERROR
        and frame.error is not None
        and wire.error_from_wire(frame.error).code is errors.ErrorCode.LEAVING
    )


def detect_dead_peer(writer: asyncio.StreamWriter) -> None:
    """Makes the kernel end the connection when the peer stops answering."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
