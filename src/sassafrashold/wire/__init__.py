"""Thrift messages between the processes of the system."""

from sassafrashold.wire._codec import CodecError
from sassafrashold.wire._codec import decode
from sassafrashold.wire._codec import encode
from sassafrashold.wire._codec import error_from_wire
from sassafrashold.wire._codec import error_to_wire
from sassafrashold.wire.gen import ttypes as messages

__all__ = [
    "CodecError",
    "decode",
    "encode",
    "error_from_wire",
    "error_to_wire",
    "messages",
]
