"""What control needs of the store, through the local entry process."""

from collections.abc import Mapping
import dataclasses
import datetime
from typing import Protocol


@dataclasses.dataclass(frozen=True)
class Versioned:
    """An object as read from the store."""

    version: int
    """Its version; 0 when it is absent."""

    value: bytes
    """Its contents; empty when it is absent."""


class Store(Protocol):
    """The store and the host list; errors are `errors.StoreError`."""

    async def get(self, key: str) -> Versioned:
        """Reads an object; the answer may be stale."""
        ...

    async def put(self, key: str, expected_version: int, value: bytes) -> int:
        """Updates an object conditionally and returns its new version.

        Raises:
            StoreConflictError: The object has another version.
            StoreError: With `ran` OUTCOME_UNKNOWN if the update may still
                take effect.
        """
        ...

    async def watch(
        self, key: str, known_version: int, wait: datetime.timedelta
    ) -> Versioned | None:
        """Waits for another version; None if there is none within `wait`."""
        ...

    async def list_versions(self, prefix: str) -> Mapping[str, int]:
        """Returns keys and versions."""
        ...

    async def host_list(self) -> Versioned:
        """Returns the host list; its version is its time in Unix ms."""
        ...
