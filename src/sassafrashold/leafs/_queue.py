"""The bounded queue of one leaf."""

import bisect
from collections.abc import Hashable
from collections.abc import Mapping
import datetime
import heapq
import itertools

from sassafrashold.leafs import _work

_DEFAULT_WEIGHT = 1.0
_Group = tuple[str, str] | None


class Entry:
    """An item of a future call and everyone who waits for it."""

    def __init__(self, work: _work.Work, key: Hashable) -> None:
        self.work = work
        self.key = key
        self.waiters: list[_work.Waiter] = []
        self.waiting = True


_Record = tuple[datetime.timedelta, int, Entry]


class WorkQueue:
    """Earliest deadline first within a class, classes by weight.

    Equal read-only work shares one entry. A taken batch has work of one
    service and index version; a dispatch is always taken alone.
    """

    def __init__(self, limit: int) -> None:
        """Initializes the queue.

        Args:
            limit: Waiters that it holds at most.
        """
        self._limit = limit
        self._weight_by_class: Mapping[str, float] = {}
        self._heaps: dict[str, dict[_Group, list[_Record]]] = {}
        self._pass_by_class: dict[str, float] = {}
        self._entry_by_key: dict[Hashable, Entry] = {}
        self._entry_by_waiter: dict[_work.Waiter, Entry] = {}
        self._deadlines_by_class: dict[str, list[datetime.timedelta]] = {}
        self._entries = 0
        self._sequence = itertools.count()

    def __len__(self) -> int:
        """Returns the number of entries, that is of items to call for."""
        return self._entries

    @property
    def waiters(self) -> int:
        """Number of waiters."""
        return len(self._entry_by_waiter)

    @property
    def full(self) -> bool:
        """Whether no waiter can be added."""
        return len(self._entry_by_waiter) >= self._limit

    def configure(
        self, limit: int, weight_by_class: Mapping[str, float]
    ) -> None:
        """Takes over limits from the table; nothing that waits is dropped."""
        self._limit = limit
        self._weight_by_class = weight_by_class

    def add(self, waiter: _work.Waiter) -> None:
        """Adds a waiter; the caller has checked `full`."""
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
            self._entries += 1
            bisect.insort(
                self._deadlines_by_class.setdefault(work.priority_class, []),
                work.deadline,
            )
        entry.waiters.append(waiter)
        self._entry_by_waiter[waiter] = entry
        self._push(work, entry)

    def remove(self, waiter: _work.Waiter) -> bool:
        """Removes a waiter; returns False if it does not wait here."""
        entry = self._entry_by_waiter.pop(waiter, None)
        if entry is None:
            return False
        entry.waiters.remove(waiter)
        if not entry.waiters:
            self._forget(entry)
        return True

    def expire(
        self, now: datetime.timedelta, name: str | None = None
    ) -> list[_work.Waiter]:
        """Removes and returns the waiters whose deadline has passed.

        Args:
            now: Monotonic time that deadlines are compared with.
            name: The only class that is looked at; None for all.
        """
        late = []
        for heaps in [
            heaps
            for class_name, heaps in self._heaps.items()
            if name in (None, class_name)
        ]:
            for heap in heaps.values():
                while heap and (heap[0][0] <= now or not heap[0][2].waiting):
                    entry = heapq.heappop(heap)[2]
                    late += [
                        waiter
                        for waiter in entry.waiters
                        if entry.waiting and waiter.work.deadline <= now
                    ]
                    for waiter in late:
                        self.remove(waiter)
        self._drop_empty()
        return late

    def next_deadline(self) -> datetime.timedelta | None:
        """Returns the earliest deadline in the queue."""
        return min(
            (
                heap[0][0]
                for heaps in self._heaps.values()
                for heap in heaps.values()
                if self._clean(heap)
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

    def ahead_of(self, work: _work.Work) -> int:
        """Returns about how many entries are called before new work.

        In its own class these are the ones with an earlier deadline. Another
        class takes turns with them in proportion to the weights.
        """
        own_weight = self._weight(work.priority_class)
        own = self._deadlines_by_class.get(work.priority_class, [])
        ahead = bisect.bisect_right(own, work.deadline)
        total = ahead
        for name, deadlines in self._deadlines_by_class.items():
            if name != work.priority_class:
                turns = (ahead + 1) * self._weight(name) / own_weight
                total += min(len(deadlines), int(turns))
        return total

    def on_time(self, name: str, ready: datetime.timedelta) -> int:
        """Returns the entries of a class with a deadline after `ready`."""
        deadlines = self._deadlines_by_class.get(name, [])
        return len(deadlines) - bisect.bisect_right(deadlines, ready)

    def earliest(self) -> Entry | None:
        """Returns the entry that the next batch starts with."""
        group = self._next_group()
        return None if group is None else group[1][0][2]

    def take(
        self, limit: int, ready: datetime.timedelta | None = None
    ) -> list[Entry]:
        """Removes and returns the entries of the next batch.

        Args:
            limit: Entries at most.
            ready: Monotonic time at which the call will have ended. Entries
                with an earlier deadline do not join the first one.
        """
        head = self._next_group()
        if head is None:
            return []
        group = head[0]
        limit = 1 if group is None else min(limit, _work.MAX_BATCH_ITEMS)
        batch: list[Entry] = []
        for name in self._classes():
            heap = self._heaps[name].get(group, [])
            while len(batch) < limit and self._clean(heap):
                if batch and ready is not None and heap[0][0] < ready:
                    break
                entry = heapq.heappop(heap)[2]
                self._forget(entry)
                for waiter in entry.waiters:
                    del self._entry_by_waiter[waiter]
                batch.append(entry)
                self._pass_by_class[name] += 1 / self._weight(name)
        self._drop_empty()
        return batch

    def _push(self, work: _work.Work, entry: Entry) -> None:
        group: _Group = (
            None if work.dispatch else (work.service, work.index_version)
        )
        name = work.priority_class
        if name not in self._heaps:
            # A class that was idle gets no credit for that time.
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

    def _forget(self, entry: Entry) -> None:
        """Makes an entry unavailable; its heap records become stale."""
        entry.waiting = False
        self._entries -= 1
        deadlines = self._deadlines_by_class[entry.work.priority_class]
        del deadlines[bisect.bisect_left(deadlines, entry.work.deadline)]
        if not deadlines:
            del self._deadlines_by_class[entry.work.priority_class]
        if self._entry_by_key.get(entry.key) is entry:
            del self._entry_by_key[entry.key]

    def _weight(self, name: str) -> float:
        return self._weight_by_class.get(name, _DEFAULT_WEIGHT)

    def _classes(self) -> list[str]:
        return sorted(self._heaps, key=self._pass_by_class.__getitem__)

    def _next_group(self) -> tuple[_Group, list[_Record]] | None:
        """Returns the group that is due, with its heap."""
        for name in self._classes():
            heaps = [
                (group, heap)
                for group, heap in self._heaps[name].items()
                if self._clean(heap)
            ]
            if heaps:
                return min(heaps, key=lambda item: item[1][0][:2])
        return None

    def _clean(self, heap: list[_Record]) -> bool:
        """Drops stale records; returns whether a valid one is left."""
        while heap and not heap[0][2].waiting:
            heapq.heappop(heap)
        return bool(heap)

    def _drop_empty(self) -> None:
        for name in list(self._heaps):
            heaps = self._heaps[name]
            for group in [g for g, heap in heaps.items() if not heap]:
                del heaps[group]
            if not heaps:
                del self._heaps[name]
