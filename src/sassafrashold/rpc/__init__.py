"""Framed Thrift messages over asyncio, with streaming and cancellation."""

from sassafrashold.rpc._client import Client
from sassafrashold.rpc._client import Pool
from sassafrashold.rpc._frames import MAX_FRAME_BYTES
from sassafrashold.rpc._server import Handler
from sassafrashold.rpc._server import RequestContext
from sassafrashold.rpc._server import Server

__all__ = [
    "MAX_FRAME_BYTES",
    "Client",
    "Handler",
    "Pool",
    "RequestContext",
    "Server",
]
