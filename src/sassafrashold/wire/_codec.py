"""Compact encoding of generated Thrift structs."""

from typing import Any
from typing import TypeVar

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from sassafrashold import clock
from sassafrashold import errors
from sassafrashold.wire.gen import ttypes

_StructT = TypeVar("_StructT")

# Bounds the memory that a malformed length makes the decoder allocate.
_MAX_FIELD_LENGTH = 4 * 1024 * 1024

_PROTOCOL_FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory(
    string_length_limit=_MAX_FIELD_LENGTH,
    container_length_limit=_MAX_FIELD_LENGTH,
)

# The accelerated protocol keeps no state between structs, and making one costs
# more than decoding a small struct. It must not be used by several threads.
_ACCELERATED_PROTOCOL = _PROTOCOL_FACTORY.getProtocol(None)

_RAN_TO_WIRE = {
    errors.Ran.NOT_RUN: ttypes.Ran.NOT_RUN,
    errors.Ran.OUTCOME_UNKNOWN: ttypes.Ran.OUTCOME_UNKNOWN,
}


class CodecError(Exception):
    """The bytes are not a valid message of the expected type."""


def encode(struct: Any) -> bytes:
    """Returns the compact encoding of a generated struct."""
    transport = TTransport.TMemoryBuffer()
    struct.write(_protocol(transport))
    return bytes(transport.getvalue())


def decode(struct_type: type[_StructT], data: bytes) -> _StructT:
    """Decodes one struct and checks its required fields.

    Args:
        struct_type: A generated class.
        data: The compact encoding.

    Raises:
        CodecError: The bytes do not hold a valid struct of this type.
    """
    struct = struct_type()
    protocol = _protocol(TTransport.TMemoryBuffer(data))
    try:
        struct.read(protocol)  # type: ignore[attr-defined]
        struct.validate()  # type: ignore[attr-defined]
    # The decoder raises many types on malformed input: its own, EOFError,
    # TypeError, UnicodeDecodeError, OverflowError, MemoryError.
    except Exception as error:
        raise CodecError(f"{struct_type.__name__}: {error}") from error
    return struct


def _protocol(transport: Any) -> Any:
    """Returns a protocol that reads from or writes to a transport."""
    if _ACCELERATED_PROTOCOL._fast_decode is None:
        # The fallback in Python is left in a bad state by malformed input.
        return _PROTOCOL_FACTORY.getProtocol(transport)
    _ACCELERATED_PROTOCOL.trans = transport
    return _ACCELERATED_PROTOCOL


def error_to_wire(error: errors.SassafrasError) -> Any:
    """Returns the wire form of an error."""
    return ttypes.ErrorInfo(
        code=error.code.value,
        message=error.message,
        ran=_RAN_TO_WIRE[error.ran],
        retry_after_ms=(
            None
            if error.retry_after is None
            else clock.to_ms(error.retry_after)
        ),
        field=error.field,
    )


def error_from_wire(info: Any) -> errors.RpcError:
    """Returns the error that a peer reported.

    A code that this version does not know becomes INTERNAL, and an unknown
    value of `ran` becomes OUTCOME_UNKNOWN, the safe assumption.
    """
    try:
        code = errors.ErrorCode(info.code)
    except ValueError:
        code = errors.ErrorCode.INTERNAL
    not_run = info.ran == ttypes.Ran.NOT_RUN
    return errors.RpcError(
        code,
        info.message,
        ran=errors.Ran.NOT_RUN if not_run else errors.Ran.OUTCOME_UNKNOWN,
        field=info.field,
        retry_after=(
            None
            if info.retry_after_ms is None
            else clock.from_ms(info.retry_after_ms)
        ),
    )
