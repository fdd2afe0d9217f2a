"""Bounded work queue of one leaf."""

import bisect
from collections.abc import Hashable
from collections.abc import Mapping
import datetime
import heapq
import itertools

from sassafrashold.leafs import _work

_DEFAULT_WEIGHT = 1.0
_BatchGroup = tuple[str, str] | None


class Entry:
    """A queued item of a later call, with all waiters that share it."""

    def __init__(self, work: _work.Work, key: Hashable) -> None:
        self.work = work
        self.key = key
        self.waiters: list[_work.Waiter] = []
        self.is_open = True


_Record = tuple[datetime.timedelta, int, Entry]


class WorkQueue:
    """Serves classes by weight and each class by earliest deadline.

    Classes are scheduled by stride scheduling: each entry that is taken adds
    the inverse weight of its class to the pass value of the class, and the
    class with the lowest pass value is next.

    Equal read-only work shares one entry. All work of a batch has the same
    service and index version; a dispatch is always a batch of its own.
    """

    def __init__(self, limit: int) -> None:
        """Initializes the queue.

        Args:
            limit: Maximum number of waiters.
        """
        self._limit = limit
        self._weight_by_class: Mapping[str, float] = {}
        self._heaps: dict[str, dict[_BatchGroup, list[_Record]]] = {}
        self._pass_by_class: dict[str, float] = {}
        self._entry_by_key: dict[Hashable, Entry] = {}
        self._entry_by_waiter: dict[_work.Waiter, Entry] = {}
        self._deadlines_by_class: dict[str, list[datetime.timedelta]] = {}
        self._open_entries = 0
        self._sequence = itertools.count()

    def __len__(self) -> int:
        """Returns the number of entries; waiters that share one count once."""
        return self._open_entries

    @property
    def waiters(self) -> int:
        """Number of waiters over all entries."""
        return len(self._entry_by_waiter)

    @property
    def full(self) -> bool:
        """Whether the limit of waiters is reached."""
        return len(self._entry_by_waiter) >= self._limit

    def configure(
        self, limit: int, weight_by_class: Mapping[str, float]
    ) -> None:
        """Applies limits from the table; keeps all waiters."""
        self._limit = limit
        self._weight_by_class = weight_by_class

    def add(self, waiter: _work.Waiter) -> None:
        """Adds a waiter; the caller must have checked `full`."""
        work = waiter.work
        key: Hashable = (
            waiter
            if work.dispatch
            else (work.service, work.index_version, work.shard, work.body)
        )
        entry = self._entry_by_key.get(key)
        if entry is None:
            entry = Entry(work, key)
            self._entry_by_key[key] = entry
            self._open_entries += 1
            bisect.insort(
                self._deadlines_by_class.setdefault(work.priority_class, []),
                work.deadline,
            )
        entry.waiters.append(waiter)
        self._entry_by_waiter[waiter] = entry
        self._push_record(work, entry)

    def remove(self, waiter: _work.Waiter) -> bool:
        """Removes a waiter; returns False if it does not wait here."""
        entry = self._entry_by_waiter.pop(waiter, None)
        if entry is None:
            return False
        entry.waiters.remove(waiter)
        if not entry.waiters:
            self._close(entry)
        return True

    def expire(
        self, now: datetime.timedelta, name: str | None = None
    ) -> list[_work.Waiter]:
        """Removes and returns the waiters whose deadline has passed.

        Args:
            now: Monotonic time that deadlines are compared with.
            name: Priority class to check; None for all.
        """
        late = []
        for heaps in [
            heaps
            for class_name, heaps in self._heaps.items()
            if name in (None, class_name)
        ]:
            for heap in heaps.values():
                while heap and (heap[0][0] <= now or not heap[0][2].is_open):
                    entry = heapq.heappop(heap)[2]
                    late += [
                        waiter
                        for waiter in entry.waiters
                        if entry.is_open and waiter.work.deadline <= now
                    ]
                    for waiter in late:
                        self.remove(waiter)
        self._drop_empty_heaps()
        return late

    def next_deadline(self) -> datetime.timedelta | None:
        """Returns the earliest deadline in the queue; None if it is empty."""
        return min(
            (
                heap[0][0]
                for heaps in self._heaps.values()
                for heap in heaps.values()
                if self._prune_stale(heap)
            ),
            default=None,
        )

    def clear(self) -> list[_work.Waiter]:
        """Removes and returns all waiters."""
        waiters = list(self._entry_by_waiter)
        for waiter in waiters:
            self.remove(waiter)
        self._heaps.clear()
        return waiters

    def count_ahead_of(self, work: _work.Work) -> int:
        """Estimates how many entries are served before new work.

        In its own class these are the entries with an earlier deadline. Entries
        of the other classes are interleaved in proportion to the weights.
        """
        own_weight = self._weight(work.priority_class)
        own = self._deadlines_by_class.get(work.priority_class, [])
        ahead = bisect.bisect_right(own, work.deadline)
        total = ahead
        for name, deadlines in self._deadlines_by_class.items():
            if name != work.priority_class:
                interleaved = (ahead + 1) * self._weight(name) / own_weight
                total += min(len(deadlines), int(interleaved))
        return total

    def count_due_after(self, name: str, time: datetime.timedelta) -> int:
        """Returns the number of entries of a class due after `time`."""
        deadlines = self._deadlines_by_class.get(name, [])
        return len(deadlines) - bisect.bisect_right(deadlines, time)

    def peek(self) -> Entry | None:
        """Returns the first entry of the next batch; None if there is none."""
        group = self._next_group()
        return None if group is None else group[1][0][2]

    def pop_batch(
        self, limit: int, expected_end: datetime.timedelta | None = None
    ) -> list[Entry]:
        """Removes and returns the entries of the next batch.

        Args:
            limit: Maximum number of entries.
            expected_end: Monotonic time at which the call is expected to end.
                Entries with an earlier deadline are not added to the first.
        """
        head = self._next_group()
        if head is None:
            return []
        group = head[0]
        limit = 1 if group is None else min(limit, _work.MAX_BATCH_ITEMS)
        batch: list[Entry] = []
        for name in self._classes_by_pass():
            heap = self._heaps[name].get(group, [])
            while len(batch) < limit and self._prune_stale(heap):
                if (
                    batch
                    and expected_end is not None
                    and heap[0][0] < expected_end
                ):
                    break
                entry = heapq.heappop(heap)[2]
                self._close(entry)
                for waiter in entry.waiters:
                    del self._entry_by_waiter[waiter]
                batch.append(entry)
                self._pass_by_class[name] += 1 / self._weight(name)
        self._drop_empty_heaps()
        return batch

    def _push_record(self, work: _work.Work, entry: Entry) -> None:
        group: _BatchGroup = (
            None if work.dispatch else (work.service, work.index_version)
        )
        name = work.priority_class
        if name not in self._heaps:
            # A class accrues no credit while it is idle.
            floor = min(
                (self._pass_by_class[other] for other in self._heaps),
                default=0.0,
            )
            self._pass_by_class[name] = max(
                self._pass_by_class.get(name, 0.0), floor
            )
            self._heaps[name] = {}
        heap = self._heaps[name].setdefault(group, [])
        heapq.heappush(heap, (work.deadline, next(self._sequence), entry))

    def _close(self, entry: Entry) -> None:
        """Closes an entry; its heap records become stale."""
        entry.is_open = False
        self._open_entries -= 1
        deadlines = self._deadlines_by_class[entry.work.priority_class]
        del deadlines[bisect.bisect_left(deadlines, entry.work.deadline)]
        if not deadlines:
            del self._deadlines_by_class[entry.work.priority_class]
        if self._entry_by_key.get(entry.key) is entry:
            del self._entry_by_key[entry.key]

    def _weight(self, name: str) -> float:
        return self._weight_by_class.get(name, _DEFAULT_WEIGHT)

    def _classes_by_pass(self) -> list[str]:
        return sorted(self._heaps, key=self._pass_by_class.__getitem__)

    def _next_group(self) -> tuple[_BatchGroup, list[_Record]] | None:
        """Returns the group to serve next, with its heap; None if empty."""
        for name in self._classes_by_pass():
            heaps = [
                (group, heap)
                for group, heap in self._heaps[name].items()
                if self._prune_stale(heap)
            ]
            if heaps:
                return min(heaps, key=lambda item: item[1][0][:2])
        return None

    def _prune_stale(self, heap: list[_Record]) -> bool:
        """Removes stale records from the top; returns whether any is left."""
        while heap and not heap[0][2].is_open:
            heapq.heappop(heap)
        return bool(heap)

    def _drop_empty_heaps(self) -> None:
        for name in list(self._heaps):
            heaps = self._heaps[name]
            for group in [g for g, heap in heaps.items() if not heap]:
                del heaps[group]
            if not heaps:
                del self._heaps[name]
