"""The admission aggregate: which request starts next, and which never does."""

from collections.abc import Iterable
import dataclasses
import datetime
import heapq
import itertools

from sassafrashold import errors
from sassafrashold import quantiles
from sassafrashold.admission import _limit

_ZERO = datetime.timedelta()
_RETRY_AFTER_MIN = datetime.timedelta(milliseconds=10)
_RETRY_AFTER_MAX = datetime.timedelta(seconds=5)

_ENTRY_LIMIT = 128
_ENTRY_LIMIT_MIN = 8
_ENTRY_LIMIT_MAX = 2048
_SERVICE_LIMIT = 16
_SERVICE_LIMIT_MIN = 2
_SERVICE_LIMIT_MAX = 1024

# A request that would wait longer than this part of its time is refused, so
# that what is accepted still has time for more than the typical service time.
_MAX_WAIT_SHARE = 0.5
_SERVICE_TIME_WINDOW = datetime.timedelta(seconds=10)


@dataclasses.dataclass(frozen=True)
class ClassPolicy:
    """The rules of one priority class."""

    name: str
    """Name of the class."""

    share: int
    """Weight against other classes."""

    floor_percent: int
    """Part of the capacity that it always gets when it needs it."""

    queue_limit: int
    """Requests that may wait."""


@dataclasses.dataclass(frozen=True, eq=False)
class Ticket:
    """One request that wants to run."""

    priority_class: str
    """Its class."""

    service: str
    """Its service."""

    deadline: datetime.timedelta
    """Monotonic time at which its caller stops waiting."""

    arrived: datetime.timedelta
    """Monotonic time of arrival."""


@dataclasses.dataclass(frozen=True)
class Start:
    """A ticket starts now."""

    ticket: Ticket
    """The ticket."""


@dataclasses.dataclass(frozen=True)
class Refuse:
    """A waiting ticket is refused; it has not run."""

    ticket: Ticket
    """The ticket."""

    error: errors.AdmissionError
    """Why."""


Decision = Start | Refuse


class _Class:
    """State of one priority class."""

    def __init__(self, policy: ClassPolicy) -> None:
        self.policy = policy
        self.waiting = 0
        self.running = 0
        self.running_by_service: dict[str, int] = {}
        self.virtual_time = 0.0
        self.heap_by_service: dict[
            str, list[tuple[datetime.timedelta, int, Ticket]]
        ] = {}


class _Service:
    """State of one service."""

    def __init__(self) -> None:
        self.limit = _limit.ConcurrencyLimit(
            _SERVICE_LIMIT, _SERVICE_LIMIT_MIN, _SERVICE_LIMIT_MAX
        )
        self.running = 0
        self.typical = quantiles.RecentQuantile(50, _SERVICE_TIME_WINDOW)
        self.nearly_all = quantiles.RecentQuantile(90, _SERVICE_TIME_WINDOW)

    def typical_time(self, now: datetime.timedelta) -> datetime.timedelta:
        return self.typical.value(now) or _ZERO

    def safe_time(self, now: datetime.timedelta) -> datetime.timedelta:
        return self.nearly_all.value(now) or _ZERO


class AdmissionQueue:
    """Decides which waiting request runs.

    The entry and each service have an adaptive concurrency limit. A free place
    goes first to classes that run less than their floor, then to classes by
    weighted fair queueing, where a floor is also the least weight. Within a
    class the earliest deadline comes first; requests whose service is at its
    limit are passed over. All times are
    monotonic.
    """

    def __init__(self, policies: Iterable[ClassPolicy] = ()) -> None:
        self.entry_limit = _limit.ConcurrencyLimit(
            _ENTRY_LIMIT, _ENTRY_LIMIT_MIN, _ENTRY_LIMIT_MAX
        )
        self._class_by_name: dict[str, _Class] = {}
        self._service_by_name: dict[str, _Service] = {}
        self._waiting: set[Ticket] = set()
        self._running: dict[Ticket, datetime.timedelta] = {}
        self._virtual_now = 0.0
        self._numbers = itertools.count()
        self.configure(policies)

    @property
    def running(self) -> int:
        """Requests that run."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return len(self._waiting)

    def waiting_by_class(self) -> dict[str, int]:
        """Returns the length of each queue."""
        return {name: c.waiting for name, c in self._class_by_name.items()}

    def limit_by_service(self) -> dict[str, int]:
        """Returns the concurrency limit of each service seen so far."""
        return {
            name: service.limit.value
            for name, service in self._service_by_name.items()
        }

    def configure(self, policies: Iterable[ClassPolicy]) -> None:
        """Takes over the classes of a table; requests keep their places."""
        for class_ in self._class_by_name.values():
            # The floor of a class that is no longer in the table is free.
            class_.policy = dataclasses.replace(class_.policy, floor_percent=0)
        for policy in policies:
            known = self._class_by_name.get(policy.name)
            if known is None:
                self._class_by_name[policy.name] = _Class(policy)
            else:
                known.policy = policy

    def offer(self, ticket: Ticket, now: datetime.timedelta) -> None:
        """Puts a request into the queue of its class.

        Raises:
            AdmissionError: OVERLOADED or DEADLINE_TOO_SHORT, not run.
        """
        service = self._service(ticket.service)
        left = ticket.deadline - now
        if left <= service.typical_time(now):
            raise errors.AdmissionError(
                errors.ErrorCode.DEADLINE_TOO_SHORT,
                f"{_ms(left)} ms are left; {ticket.service!r} typically takes "
                f"{_ms(service.typical_time(now))} ms",
                field="deadline_ms",
            )
        class_ = self._class_by_name[ticket.priority_class]
        wait = self._estimated_wait(class_, ticket, service, now)
        if class_.waiting >= class_.policy.queue_limit:
            raise _overloaded("the queue of its class is full", wait)
        if (
            wait + service.typical_time(now) > left
            or wait > left * _MAX_WAIT_SHARE
        ):
            raise _overloaded(
                f"it would wait about {_ms(wait)} of {_ms(left)} ms", wait
            )
        if not class_.waiting and not class_.running:
            class_.virtual_time = max(class_.virtual_time, self._virtual_now)
        class_.waiting += 1
        self._waiting.add(ticket)
        heapq.heappush(
            class_.heap_by_service.setdefault(ticket.service, []),
            (ticket.deadline, next(self._numbers), ticket),
        )

    def decide(self, now: datetime.timedelta) -> list[Decision]:
        """Returns what starts and what is refused now."""
        decisions: list[Decision] = []
        while len(self._running) < self.entry_limit.value:
            class_ = self._next_class()
            if class_ is None:
                break
            decisions.append(self._take(class_, now))
        return decisions

    def expire(self, ticket: Ticket, now: datetime.timedelta) -> Refuse | None:
        """Refuses a request that can no longer finish if it still waits."""
        if not self.withdraw(ticket):
            return None
        return Refuse(ticket, self._too_late(ticket, now))

    def withdraw(self, ticket: Ticket) -> bool:
        """Removes a waiting request; False if it does not wait."""
        if ticket not in self._waiting:
            return False
        self._waiting.remove(ticket)
        self._class_by_name[ticket.priority_class].waiting -= 1
        return True

    def finish(
        self,
        ticket: Ticket,
        now: datetime.timedelta,
        congested: bool,
        answered: bool,
    ) -> None:
        """Ends a running request.

        Args:
            ticket: The request.
            now: Monotonic time.
            congested: Whether the upstream showed signs of overload.
            answered: Whether its time is that of a regular answer.
        """
        started = self._running.pop(ticket)
        class_ = self._class_by_name[ticket.priority_class]
        service = self._service(ticket.service)
        class_.running -= 1
        class_.running_by_service[ticket.service] -= 1
        service.running -= 1
        service.limit.finished(started, now, service.running, congested)
        if answered:
            service.typical.record(now - started, now)
            service.nearly_all.record(now - started, now)

    def latest_start(
        self, ticket: Ticket, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Returns the time after which a waiting request cannot finish."""
        return ticket.deadline - self._service(ticket.service).safe_time(now)

    def floor_of(self, name: str, capacity: int) -> float:
        """Returns how many of `capacity` places the floor of a class is.

        Floors that add up to more than all places are scaled down.
        """
        total = sum(
            c.policy.floor_percent for c in self._class_by_name.values()
        )
        percent = self._class_by_name[name].policy.floor_percent
        return capacity * percent / max(100, total)

    def _service(self, name: str) -> _Service:
        service = self._service_by_name.get(name)
        if service is None:
            service = self._service_by_name[name] = _Service()
        return service

    def _next_class(self) -> _Class | None:
        """Returns the class that gets the next place."""
        candidates = [
            class_
            for class_ in self._class_by_name.values()
            if class_.waiting and self._head(class_) is not None
        ]
        if not candidates:
            return None
        below = [c for c in candidates if self._is_below_floor(c)]
        if below:
            return min(
                below,
                key=lambda c: (
                    c.running / c.policy.floor_percent,
                    c.virtual_time,
                ),
            )
        return min(candidates, key=lambda c: c.virtual_time)

    def _is_below_floor(self, class_: _Class) -> bool:
        """Returns whether its next request is within the floor of a class.

        The floor holds for the entry and for the service, whichever limit is
        the narrower one. It counts in whole places; what is left of it comes
        with the turns of the class, see `_part`.
        """
        if not class_.policy.floor_percent:
            return False
        head = self._head(class_)
        if head is None:
            return False
        name = class_.policy.name
        of_entry = self.floor_of(name, self.entry_limit.value)
        limit = self._service(head.service).limit.value
        of_service = self.floor_of(name, limit)
        running = class_.running_by_service.get(head.service, 0)
        return class_.running + 1 <= of_entry and running + 1 <= of_service

    def _head(self, class_: _Class) -> Ticket | None:
        """Returns the request with the earliest deadline that can start."""
        best: tuple[datetime.timedelta, int, Ticket] | None = None
        for name in list(class_.heap_by_service):
            heap = class_.heap_by_service[name]
            while heap and heap[0][2] not in self._waiting:
                heapq.heappop(heap)
            if not heap:
                del class_.heap_by_service[name]
                continue
            service = self._service(name)
            if service.running < service.limit.value and (
                best is None or heap[0] < best
            ):
                best = heap[0]
        return None if best is None else best[2]

    def _take(self, class_: _Class, now: datetime.timedelta) -> Decision:
        ticket = self._head(class_)
        assert ticket is not None
        self.withdraw(ticket)
        if ticket.arrived < now and now > self.latest_start(ticket, now):
            return Refuse(ticket, self._too_late(ticket, now))
        service = self._service(ticket.service)
        class_.running += 1
        class_.running_by_service[ticket.service] = (
            class_.running_by_service.get(ticket.service, 0) + 1
        )
        service.running += 1
        self._running[ticket] = now
        self._virtual_now = max(self._virtual_now, class_.virtual_time)
        class_.virtual_time += 1 / self._part(class_)
        return Start(ticket)

    def _estimated_wait(
        self,
        class_: _Class,
        ticket: Ticket,
        service: _Service,
        now: datetime.timedelta,
    ) -> datetime.timedelta:
        """Returns how long a request would wait behind earlier deadlines."""
        time = service.typical_time(now)
        ahead_by_service = {
            name: sum(
                deadline <= ticket.deadline and other in self._waiting
                for deadline, _, other in heap
            )
            for name, heap in class_.heap_by_service.items()
        }
        ahead = sum(ahead_by_service.values())
        waits = [_ZERO]
        limit = self.entry_limit.value
        if limit - len(self._running) <= ahead:
            waits.append(
                time * self._rounds(class_, class_.running, ahead, limit)
            )
        ahead = ahead_by_service.get(ticket.service, 0)
        limit = service.limit.value
        if limit - service.running <= ahead:
            running = class_.running_by_service.get(ticket.service, 0)
            waits.append(time * self._rounds(class_, running, ahead, limit))
        return max(waits)

    def _rounds(
        self, class_: _Class, running: int, ahead: int, limit: int
    ) -> float:
        """Returns the wait for a place, in typical service times."""
        if running + ahead + 1 <= self.floor_of(class_.policy.name, limit):
            # Below its floor a class gets one of the next free places.
            return (ahead + 1) / limit
        return (ahead + 1) / (limit * self._part(class_))

    def _part(self, class_: _Class) -> float:
        """Returns the part of the capacity that a class gets now."""
        total = sum(
            c.policy.share
            for c in self._class_by_name.values()
            if c.waiting or c.running or c is class_
        )
        return max(
            class_.policy.share / total, self.floor_of(class_.policy.name, 1)
        )

    def _too_late(
        self, ticket: Ticket, now: datetime.timedelta
    ) -> errors.AdmissionError:
        class_ = self._class_by_name[ticket.priority_class]
        return _overloaded(
            f"it waited {_ms(now - ticket.arrived)} ms and cannot finish in "
            "time",
            self._estimated_wait(
                class_, ticket, self._service(ticket.service), now
            ),
        )


def _overloaded(
    message: str, wait: datetime.timedelta
) -> errors.AdmissionError:
    return errors.AdmissionError(
        errors.ErrorCode.OVERLOADED,
        message,
        retry_after=min(max(wait, _RETRY_AFTER_MIN), _RETRY_AFTER_MAX),
    )


def _ms(duration: datetime.timedelta) -> int:
    return duration // datetime.timedelta(milliseconds=1)
