"""What the local owner process says about itself."""

import collections
import datetime

OWNER_SILENT_AFTER = datetime.timedelta(seconds=3)
_REPLACED_LIMIT = 64


class OwnerWatch:
    """The incarnation of the local owner, from its entitlement calls."""

    def __init__(self) -> None:
        self._called: datetime.timedelta | None = None
        self._replaced: collections.deque[str] = collections.deque(
            maxlen=_REPLACED_LIMIT
        )
        self.incarnation = ""
        """Incarnation of the last call; empty before the first one."""
        self.released_epoch = 0
        """Newest epoch that the incarnation has released."""
        self.leaving = False
        """Whether the owner is draining."""

    def record(
        self,
        incarnation: str,
        released_epoch: int,
        leaving: bool,
        now: datetime.timedelta,
    ) -> None:
        """Records a call; ignores one from a replaced incarnation.

        A call of a process that has ended may still be read from its socket
        after the first call of its successor.
        """
        if incarnation in self._replaced:
            return
        if incarnation != self.incarnation:
            if self.incarnation:
                self._replaced.append(self.incarnation)
            self.incarnation = incarnation
            self.released_epoch = 0
            self.leaving = False
        self._called = now
        self.released_epoch = max(self.released_epoch, released_epoch)
        self.leaving = self.leaving or leaving

    def is_serving(self, now: datetime.timedelta) -> bool:
        """Returns whether the owner has called recently."""
        return (
            self._called is not None and now - self._called < OWNER_SILENT_AFTER
        )

    def age(self, now: datetime.timedelta) -> datetime.timedelta | None:
        """Returns the time since the last call."""
        return None if self._called is None else now - self._called
