"""The Thrift methods of control."""

import asyncio
import dataclasses
import logging
from typing import Any
from typing import TypeVar

from sassafrashold import documents
from sassafrashold import errors
from sassafrashold import rpc
from sassafrashold import settings
from sassafrashold import table
from sassafrashold import wire
from sassafrashold.control import _digest
from sassafrashold.control import _entitlement
from sassafrashold.control import _node
from sassafrashold.control import _objects
from sassafrashold.control import _peers
from sassafrashold.control import _status

_LOGGER = logging.getLogger(__name__)
_StructT = TypeVar("_StructT")

HELLO_KEY = "control/hello"

# Leaves room in a frame of 4 MB for one more object of 1 MB.
_MAX_FETCH_BYTES = 2 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class Handlers:
    """Serves the methods; holds no state of its own."""

    node: _node.Node
    """State of the process."""

    peers: _peers.Peers
    """Fetches what a peer announces."""

    METHODS = ("subscribe", "entitlement", "gossip", "fetch", "status")

    def by_method(self) -> dict[str, rpc.Handler]:
        """Returns the handlers by method name."""
        return {name: getattr(self, name) for name in self.METHODS}

    async def subscribe(
        self, context: rpc.RequestContext, body: bytes
    ) -> bytes:
        """Streams every object, and each newer one, until cancelled.

        The table waits until this host knows that it is not an older one than
        was in force before its start.
        """
        request = _decode(wire.messages.SubscribeRequest, body)
        prefixes = tuple(request.prefixes or ()) or ("",)
        changed = asyncio.Event()
        # Keyed, so that a slow reader gets only the newest version.
        pending: dict[str, _objects.StoredObject] = {}

        def add(stored: _objects.StoredObject) -> None:
            is_held_back = (
                stored.key == table.TABLE_KEY
                and self.node.up_to_date_source is None
            )
            if stored.key.startswith(prefixes) and not is_held_back:
                pending[stored.key] = stored
                changed.set()

        subscription = self.node.objects.changes.subscribe(add)
        try:
            await context.emit(self._hello())
            for stored in self.node.objects:
                add(stored)
            while True:
                await changed.wait()
                changed.clear()
                while pending:
                    stored = pending.pop(next(iter(pending)))
                    await context.emit(wire.encode(_view_object(stored)))
        finally:
            subscription.dispose()

    async def entitlement(
        self, context: rpc.RequestContext, body: bytes
    ) -> bytes:
        """Answers the local owner."""
        request = _decode(wire.messages.EntitlementRequest, body)
        return wire.encode(_entitlement.answer(self.node, request))

    async def gossip(self, context: rpc.RequestContext, body: bytes) -> bytes:
        """Answers an exchange."""
        request = _decode(wire.messages.GossipMessage, body)
        try:
            peer = _digest.merge_request(self.node, request)
        except _digest.DigestError as error:
            raise _bad_request(str(error)) from error
        answer = wire.encode(_digest.answer(self.node, request))
        traffic = self.peers.traffic
        traffic.answered += 1
        traffic.received_bytes += len(body)
        traffic.sent_bytes += len(answer)
        if peer is not None:
            self._ask_back(peer, request)
        return answer

    async def fetch(self, context: rpc.RequestContext, body: bytes) -> bytes:
        """Returns newer versions of objects, as many as fit."""
        request = _decode(wire.messages.FetchRequest, body)
        found = []
        size = 0
        for item in request.newer_than:
            stored = self.node.objects.get(item.key)
            if stored is None or stored.version <= item.version:
                continue
            found.append(_view_object(stored))
            size += len(stored.value)
            if size > _MAX_FETCH_BYTES:
                break
        answer = wire.encode(wire.messages.FetchReply(objects=found))
        self.peers.traffic.received_bytes += len(body)
        self.peers.traffic.sent_bytes += len(answer)
        return answer

    async def status(self, context: rpc.RequestContext, body: bytes) -> bytes:
        """Returns the facts that this process knows."""
        facts = _status.facts(self.node, self.peers)
        return wire.encode(
            wire.messages.StatusReply(value=documents.dump(facts))
        )

    def _ask_back(self, peer: settings.Address, request: Any) -> None:
        """Asks the sender for what only its answer can prove."""
        sender = self.node.members.get(request.sender)
        if sender is not None and sender.confirmed_at is None:
            self.peers.start(self.peers.exchange(peer))
        elif request.objects:
            self.peers.start(self.peers.fetch_newer(peer, request))

    def _hello(self) -> bytes:
        values = self.node.settings
        return wire.encode(
            wire.messages.ViewObject(
                key=HELLO_KEY,
                version=1,
                value=documents.dump(
                    {"host": values.host, "zone": values.zone}
                ),
            )
        )


def _view_object(stored: _objects.StoredObject) -> Any:
    return wire.messages.ViewObject(
        key=stored.key, version=stored.version, value=stored.value
    )


def _decode(struct_type: type[_StructT], body: bytes) -> _StructT:
    try:
        return wire.decode(struct_type, body)
    except wire.CodecError as error:
        raise _bad_request(str(error)) from error


def _bad_request(message: str) -> errors.RpcError:
    return errors.RpcError(errors.ErrorCode.BAD_REQUEST, message)
