"""Stand-in of a client, as `PROTOCOL.md` describes one."""

import asyncio
import dataclasses
import time

# Clients allow a new connection one second to be established.
_CONNECT_S = 1.0


@dataclasses.dataclass
class Attempt:
    """One client attempt and its answer."""

    request_id: str
    front: str
    sent_at: float
    status: int | None = None
    header_by_name: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    ended_at: float = 0.0
    error: str = ""


async def send(
    address: str,
    host: str,
    path: str,
    request_id: str,
    *,
    method: str = "GET",
    body: bytes = b"",
    deadline_ms: int = 5000,
) -> Attempt:
    """Sends one attempt on a new connection and waits for its answer."""
    attempt = Attempt(request_id, address, time.monotonic())
    ip, _, port = address.rpartition(":")
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            async with asyncio.timeout(_CONNECT_S):
                reader, writer = await asyncio.open_connection(ip, int(port))
            lines = [
                f"{method} {path} HTTP/1.1",
                f"Host: {host}",
                f"Request-Id: {request_id}",
                f"Deadline-Ms: {deadline_ms}",
            ]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await _read_answer(reader, attempt)
    except TimeoutError:
        attempt.error = "no answer before the deadline"
    except (OSError, asyncio.IncompleteReadError) as error:
        attempt.error = f"{type(error).__name__}: {error}"
    finally:
        attempt.ended_at = time.monotonic()
        if writer is not None:
            writer.close()
    return attempt


async def _read_answer(reader: asyncio.StreamReader, attempt: Attempt) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    for line in lines:
        name, _, value = line.partition(":")
        attempt.header_by_name[name.strip().lower()] = value.strip()
    length = int(attempt.header_by_name.get("content-length", "0"))
    attempt.body = await reader.readexactly(length)
    attempt.status = int(first.split(" ")[1])
