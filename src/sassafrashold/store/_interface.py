"""Interfaces of the object store and host list, and their errors."""

import dataclasses
import datetime
from typing import Protocol

from sassafrashold import errors

MAX_VALUE_BYTES = 1_000_000


@dataclasses.dataclass(frozen=True)
class Stored:
    """An object as one read found it; reads can be stale."""

    key: str
    """Key of the object."""

    version: int
    """Version in the store, at least 1; grows with each change."""

    value: bytes
    """The stored bytes."""


class ObjectStore(Protocol):
    """The platform's object store.

    Every method raises `StoreError`. Reads raise it with STORE_UNAVAILABLE and
    NOT_RUN. Writes raise it with NOT_RUN only if the write certainly did not
    take effect (STORE_UNAVAILABLE, BODY_TOO_LARGE, or `StoreConflictError`),
    and with STORE_AMBIGUOUS and OUTCOME_UNKNOWN otherwise.
    """

    async def get(self, key: str) -> Stored | None:
        """Returns the object; None if it is absent. May be stale."""
        ...

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Writes an object on the condition that it is at a version.

        Args:
            key: Key of the object.
            value: At most `MAX_VALUE_BYTES`.
            expected_version: Version to replace; 0 creates the object only if
                it is absent.

        Returns:
            The new version.

        Raises:
            StoreConflictError: The object is at another version.
        """
        ...

    async def delete(self, key: str, expected_version: int) -> None:
        """Deletes an object on the condition that it is at a version.

        Raises:
            StoreConflictError: The object is at another version or absent.
        """
        ...

    async def watch(
        self, key: str, known_version: int, wait: datetime.timedelta
    ) -> Stored | None:
        """Waits for a version newer than `known_version`.

        Returns:
            The newer object. None if there was none in time, if the object is
            absent, or if the answer was stale; the call then took at least a
            second or `wait`, whichever is shorter.
        """
        ...

    async def list(self, prefix: str) -> dict[str, int]:
        """Returns the versions of all objects by key; may be stale."""
        ...


class HostSource(Protocol):
    """The platform's list of live and leaving hosts; it may be stale."""

    async def host_list(self) -> tuple[int, bytes]:
        """Returns the list's time in Unix milliseconds, and its document.

        Raises:
            StoreError: STORE_UNAVAILABLE.
        """
        ...


def unavailable_error(message: str) -> errors.StoreError:
    """Returns the error for a call that certainly had no effect."""
    return errors.StoreError(errors.ErrorCode.STORE_UNAVAILABLE, message)


def ambiguous_error(message: str) -> errors.StoreError:
    """Returns the error for a write that may have taken effect."""
    return errors.StoreError(
        errors.ErrorCode.STORE_AMBIGUOUS,
        message,
        ran=errors.Ran.OUTCOME_UNKNOWN,
    )


def check_size(key: str, value: bytes) -> None:
    """Checks the length of a value before it is sent.

    Raises:
        StoreError: BODY_TOO_LARGE.
    """
    if len(value) > MAX_VALUE_BYTES:
        raise errors.StoreError(
            errors.ErrorCode.BODY_TOO_LARGE,
            f"object {key!r} has {len(value)} bytes, at most {MAX_VALUE_BYTES}",
        )
