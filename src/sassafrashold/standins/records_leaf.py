"""Stand-in of a leaf of the users' platform: signs what it ran."""

import asyncio
import dataclasses
import datetime
import enum
import hashlib

from aiohttp import web

RECORD_BYTES = 16
_RECORDS = 4
# Longer than an answer takes, so that the connection is often in use again.
_COPY_DELAY_S = 0.05
_ENDLESS_BLOCK = b"10000\r\n" + b"x" * 2**16 + b"\r\n"
_ENDLESS_PAUSE_S = 0.002


class AnswerFault(enum.Enum):
    """What a leaf sends in place of one whole answer."""

    TWICE = "twice"
    """The answer, and later the same bytes again."""

    BROKEN_OFF = "broken_off"
    """The first bytes, in the head or the body, then the end of the stream."""

    ENDLESS = "endless"
    """A body that goes on until the other side closes."""

    NO_STATUS = "no_status"
    """A whole answer whose status is 000."""

    CONTROL_CHARACTER = "control_character"
    """A whole answer with a control character in its signature."""


@dataclasses.dataclass(frozen=True)
class Run:
    """A request that a leaf ran."""

    request_id: str
    """Id of the caller's attempt."""

    leaf_id: str
    """The leaf."""

    method: str
    """HTTP method."""

    target: str
    """Path and query."""

    body: bytes
    """The whole body."""


class RecordsLeaf:
    """Serves records over HTTP and keeps what it ran.

    Faults are set by the owner: `work` is how long a request takes,
    `lose_answers` resets connections after the run, `reject` runs nothing,
    `answer_fault` spoils the bytes of answers after the run,
    `padding_bytes` makes answers longer,
    `listed_address` is the address of a proxy in front of the leaf.
    """

    def __init__(self, leaf_id: str, service: str, zone: str) -> None:
        """Initializes a healthy leaf.

        Args:
            leaf_id: Id that requests have to expect.
            service: Service that it belongs to.
            zone: Its availability zone.
        """
        self.leaf_id = leaf_id
        self.service = service
        self.zone = zone
        self.work = datetime.timedelta(milliseconds=2)
        self.lose_answers = False
        self.reject = False
        self.answer_fault: AnswerFault | None = None
        self.padding_bytes = 0
        self.runs: list[Run] = []
        self.cancelled = 0
        self.address = ""
        self.listed_address: str | None = None
        self._runner: web.ServerRunner | None = None

    async def start(self, ip: str = "127.0.0.1") -> None:
        """Begins to listen on a free port."""
        self._runner = web.ServerRunner(
            web.Server(
                self._handle, handler_cancellation=True, access_log=None
            ),
            shutdown_timeout=0.1,
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, ip, 0)
        await site.start()
        port = self._runner.addresses[0][1]
        self.address = f"{ip}:{port}"

    async def stop(self) -> None:
        """Closes all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Returns what the leaf writes of itself into the store."""
        return {
            "service": self.service,
            "address": self.listed_address or self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 3,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1790000000000,
        }

    def signature(self, request_id: str) -> str:
        """Returns the signature of this leaf for a request."""
        return f"{self.service}.{self.leaf_id}.{request_id}"

    def records(self, request_id: str) -> bytes:
        """Returns the records of this leaf's service for a request."""
        return b"".join(
            hashlib.md5(f"{self.service}/{request_id}/{i}".encode()).digest()
            for i in range(_RECORDS)
        )

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        request_id = request.headers.get("Request-Id", "")
        if request.headers.get("Expect-Instance") != self.leaf_id:
            return web.Response(status=421, headers={"Request-Id": request_id})
        if self.reject:
            return web.Response(
                status=503,
                headers={"Request-Id": request_id, "Not-Executed": "1"},
            )
        self.runs.append(
            Run(
                request_id,
                self.leaf_id,
                request.method,
                request.raw_path,
                await request.read(),
            )
        )
        try:
            await asyncio.sleep(self.work.total_seconds())
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        transport = request.transport
        if isinstance(transport, asyncio.Transport):
            if self.lose_answers:
                transport.abort()
            await self._spoil_answer(transport, request_id)
        return web.Response(
            body=self.records(request_id) + bytes(self.padding_bytes),
            headers={
                "Request-Id": request_id,
                "Server-Stamp": self.signature(request_id),
            },
        )

    async def _spoil_answer(
        self, transport: asyncio.Transport, request_id: str
    ) -> None:
        answer = self._answer_bytes(request_id)
        match self.answer_fault:
            case AnswerFault.TWICE:
                asyncio.get_running_loop().call_later(
                    _COPY_DELAY_S, transport.write, answer
                )
            case AnswerFault.BROKEN_OFF:
                # The same place for a request each time, any place for many.
                size = hashlib.md5(answer).digest()[0] % len(answer)
                transport.write(answer[:size])
                transport.close()
            case AnswerFault.ENDLESS:
                head, _, _ = answer.partition(b"Content-Length")
                transport.write(head + b"Transfer-Encoding: chunked\r\n\r\n")
                while not transport.is_closing():
                    if not transport.get_write_buffer_size():
                        transport.write(_ENDLESS_BLOCK)
                    await asyncio.sleep(_ENDLESS_PAUSE_S)
            case AnswerFault.NO_STATUS:
                transport.write(answer.replace(b"200 OK", b"000 OK", 1))
                transport.close()
            case AnswerFault.CONTROL_CHARACTER:
                name = b"Server-Stamp: "
                transport.write(answer.replace(name, name + b"\x01", 1))
                transport.close()
            case None:
                pass

    def _answer_bytes(self, request_id: str) -> bytes:
        body = self.records(request_id)
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"Request-Id: {request_id}\r\n"
            f"Server-Stamp: {self.signature(request_id)}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body
