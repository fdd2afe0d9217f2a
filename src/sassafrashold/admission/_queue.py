"""Admission queue: decides which requests start and which are refused."""

from collections.abc import Iterable
import dataclasses
import datetime
import heapq
import itertools

from sassafrashold import errors
from sassafrashold import quantiles
from sassafrashold.admission import _limit

_ZERO = datetime.timedelta()
_MIN_RETRY_AFTER = datetime.timedelta(milliseconds=10)
_MAX_RETRY_AFTER = datetime.timedelta(seconds=5)

_INITIAL_ENTRY_LIMIT = 128
_MIN_ENTRY_LIMIT = 8
_MAX_ENTRY_LIMIT = 2048
_INITIAL_SERVICE_LIMIT = 16
_MIN_SERVICE_LIMIT = 2
_MAX_SERVICE_LIMIT = 1024

# A request that would wait for more than this part of its remaining time is
# refused, so that accepted requests have time for slower than typical service.
_MAX_WAIT_RATIO = 0.5
_SERVICE_TIME_WINDOW = datetime.timedelta(seconds=10)


@dataclasses.dataclass(frozen=True)
class ClassPolicy:
    """Share, floor and queue limit of one priority class."""

    name: str
    """Name of the class."""

    share: int
    """Weight in fair queueing against the other classes."""

    floor_percent: int
    """Percentage of the capacity guaranteed to the class while it has work."""

    queue_limit: int
    """Maximum number of waiting requests."""


@dataclasses.dataclass(frozen=True, eq=False)
class Ticket:
    """A request that asks for admission; compared by identity."""

    priority_class: str
    """Priority class of the request."""

    service: str
    """Service that the request is for."""

    deadline: datetime.timedelta
    """Monotonic time at which its caller stops waiting."""

    arrived: datetime.timedelta
    """Monotonic time of arrival."""


@dataclasses.dataclass(frozen=True)
class Start:
    """Decision to start a request now."""

    ticket: Ticket
    """The request to start."""


@dataclasses.dataclass(frozen=True)
class Refuse:
    """Decision to refuse a waiting request, which has not run."""

    ticket: Ticket
    """The refused request."""

    error: errors.AdmissionError
    """Error for the caller."""


Decision = Start | Refuse


class _ClassState:
    def __init__(self, policy: ClassPolicy) -> None:
        self.policy = policy
        self.waiting = 0
        self.running = 0
        self.running_by_service: dict[str, int] = {}
        self.virtual_time = 0.0
        self.heap_by_service: dict[
            str, list[tuple[datetime.timedelta, int, Ticket]]
        ] = {}


class _ServiceState:
    def __init__(self) -> None:
        self.limit = _limit.ConcurrencyLimit(
            _INITIAL_SERVICE_LIMIT, _MIN_SERVICE_LIMIT, _MAX_SERVICE_LIMIT
        )
        self.running = 0
        self.median = quantiles.RecentQuantile(50, _SERVICE_TIME_WINDOW)
        self.p90 = quantiles.RecentQuantile(90, _SERVICE_TIME_WINDOW)

    def median_time(self, now: datetime.timedelta) -> datetime.timedelta:
        return self.median.value(now) or _ZERO

    def p90_time(self, now: datetime.timedelta) -> datetime.timedelta:
        return self.p90.value(now) or _ZERO


class AdmissionQueue:
    """Decides which waiting request runs.

    The entry and each service have an adaptive concurrency limit. Free capacity
    goes first to classes that run fewer requests than their floor, then to
    classes by weighted fair queueing, in which the floor of a class is also
    its minimum share. Within a class the request with the earliest deadline
    starts first; requests whose service is at its limit are skipped. All times
    are monotonic.
    """

    def __init__(self, policies: Iterable[ClassPolicy] = ()) -> None:
        self.entry_limit = _limit.ConcurrencyLimit(
            _INITIAL_ENTRY_LIMIT, _MIN_ENTRY_LIMIT, _MAX_ENTRY_LIMIT
        )
        self._class_by_name: dict[str, _ClassState] = {}
        self._service_by_name: dict[str, _ServiceState] = {}
        self._waiting: set[Ticket] = set()
        self._start_time_by_ticket: dict[Ticket, datetime.timedelta] = {}
        self._virtual_now = 0.0
        self._sequence = itertools.count()
        self.configure(policies)

    @property
    def running(self) -> int:
        """Number of running requests."""
        return len(self._start_time_by_ticket)

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    def waiting_by_class(self) -> dict[str, int]:
        """Returns the number of waiting requests of each class."""
        return {name: c.waiting for name, c in self._class_by_name.items()}

    def limit_by_service(self) -> dict[str, int]:
        """Returns the concurrency limit of each service seen so far."""
        return {
            name: service.limit.value
            for name, service in self._service_by_name.items()
        }

    def configure(self, policies: Iterable[ClassPolicy]) -> None:
        """Replaces the class policies; keeps waiting and running requests."""
        for class_ in self._class_by_name.values():
            # A class that is no longer in the table loses its floor.
            class_.policy = dataclasses.replace(class_.policy, floor_percent=0)
        for policy in policies:
            state = self._class_by_name.get(policy.name)
            if state is None:
                self._class_by_name[policy.name] = _ClassState(policy)
            else:
                state.policy = policy

    def offer(self, ticket: Ticket, now: datetime.timedelta) -> None:
        """Puts a request into the queue of its class.

        Raises:
            AdmissionError: OVERLOADED or DEADLINE_TOO_SHORT; the request has
                not run.
        """
        service = self._service(ticket.service)
        remaining = ticket.deadline - now
        if remaining <= service.median_time(now):
            raise errors.AdmissionError(
                errors.ErrorCode.DEADLINE_TOO_SHORT,
                f"{_ms(remaining)} ms remain; {ticket.service!r} typically "
                f"takes {_ms(service.median_time(now))} ms",
                field="deadline_ms",
            )
        class_ = self._class_by_name[ticket.priority_class]
        wait = self._estimated_wait(class_, ticket, service, now)
        if class_.waiting >= class_.policy.queue_limit:
            raise _overloaded_error(
                "the queue of the priority class is full", wait
            )
        if (
            wait + service.median_time(now) > remaining
            or wait > remaining * _MAX_WAIT_RATIO
        ):
            raise _overloaded_error(
                f"the wait would be about {_ms(wait)} of {_ms(remaining)} ms",
                wait,
            )
        if not class_.waiting and not class_.running:
            class_.virtual_time = max(class_.virtual_time, self._virtual_now)
        class_.waiting += 1
        self._waiting.add(ticket)
        heapq.heappush(
            class_.heap_by_service.setdefault(ticket.service, []),
            (ticket.deadline, next(self._sequence), ticket),
        )

    def decide(self, now: datetime.timedelta) -> list[Decision]:
        """Starts or refuses requests while capacity is free."""
        decisions: list[Decision] = []
        while len(self._start_time_by_ticket) < self.entry_limit.value:
            class_ = self._next_class()
            if class_ is None:
                break
            decisions.append(self._start_or_refuse(class_, now))
        return decisions

    def expire(self, ticket: Ticket, now: datetime.timedelta) -> Refuse | None:
        """Returns the refusal of a request; None if it no longer waits."""
        if not self.withdraw(ticket):
            return None
        return Refuse(ticket, self._late_error(ticket, now))

    def withdraw(self, ticket: Ticket) -> bool:
        """Removes a waiting request; returns False if it does not wait."""
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
            answered: Whether its duration is that of a regular answer and so a
                sample of the service time.
        """
        started = self._start_time_by_ticket.pop(ticket)
        class_ = self._class_by_name[ticket.priority_class]
        service = self._service(ticket.service)
        class_.running -= 1
        class_.running_by_service[ticket.service] -= 1
        service.running -= 1
        service.limit.record_finish(started, now, service.running, congested)
        if answered:
            service.median.record(now - started, now)
            service.p90.record(now - started, now)

    def latest_start(
        self, ticket: Ticket, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Returns the latest start that lets a request finish in time."""
        return ticket.deadline - self._service(ticket.service).p90_time(now)

    def class_floor(self, name: str, capacity: int) -> float:
        """Returns the part of `capacity` that is the floor of a class.

        Floors that add up to more than 100 percent are scaled down.
        """
        total = sum(
            c.policy.floor_percent for c in self._class_by_name.values()
        )
        percent = self._class_by_name[name].policy.floor_percent
        return capacity * percent / max(100, total)

    def _service(self, name: str) -> _ServiceState:
        service = self._service_by_name.get(name)
        if service is None:
            service = self._service_by_name[name] = _ServiceState()
        return service

    def _next_class(self) -> _ClassState | None:
        """Returns the class to start a request of; None if none can start."""
        candidates = [
            class_
            for class_ in self._class_by_name.values()
            if class_.waiting and self._head(class_) is not None
        ]
        if not candidates:
            return None
        below_floor = [c for c in candidates if self._is_below_floor(c)]
        if below_floor:
            return min(
                below_floor,
                key=lambda c: (
                    c.running / c.policy.floor_percent,
                    c.virtual_time,
                ),
            )
        return min(candidates, key=lambda c: c.virtual_time)

    def _is_below_floor(self, class_: _ClassState) -> bool:
        """Returns whether the next request of a class fits into its floor.

        It has to fit into the floor at the limit of the entry and at the limit
        of the service. Only whole requests count here; the fractional rest of
        a floor is granted through the fair queueing weight, see
        `_capacity_share`.
        """
        if not class_.policy.floor_percent:
            return False
        head = self._head(class_)
        if head is None:
            return False
        name = class_.policy.name
        entry_floor = self.class_floor(name, self.entry_limit.value)
        limit = self._service(head.service).limit.value
        service_floor = self.class_floor(name, limit)
        running = class_.running_by_service.get(head.service, 0)
        return (
            class_.running + 1 <= entry_floor and running + 1 <= service_floor
        )

    def _head(self, class_: _ClassState) -> Ticket | None:
        """Returns the startable request with the earliest deadline, if any."""
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

    def _start_or_refuse(
        self, class_: _ClassState, now: datetime.timedelta
    ) -> Decision:
        ticket = self._head(class_)
        assert ticket is not None
        self.withdraw(ticket)
        if ticket.arrived < now and now > self.latest_start(ticket, now):
            return Refuse(ticket, self._late_error(ticket, now))
        service = self._service(ticket.service)
        class_.running += 1
        class_.running_by_service[ticket.service] = (
            class_.running_by_service.get(ticket.service, 0) + 1
        )
        service.running += 1
        self._start_time_by_ticket[ticket] = now
        self._virtual_now = max(self._virtual_now, class_.virtual_time)
        class_.virtual_time += 1 / self._capacity_share(class_)
        return Start(ticket)

    def _estimated_wait(
        self,
        class_: _ClassState,
        ticket: Ticket,
        service: _ServiceState,
        now: datetime.timedelta,
    ) -> datetime.timedelta:
        """Returns the expected wait behind requests with earlier deadlines."""
        service_time = service.median_time(now)
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
        if limit - len(self._start_time_by_ticket) <= ahead:
            waits.append(
                service_time
                * self._wait_in_service_times(
                    class_, class_.running, ahead, limit
                )
            )
        ahead = ahead_by_service.get(ticket.service, 0)
        limit = service.limit.value
        if limit - service.running <= ahead:
            running = class_.running_by_service.get(ticket.service, 0)
            waits.append(
                service_time
                * self._wait_in_service_times(class_, running, ahead, limit)
            )
        return max(waits)

    def _wait_in_service_times(
        self, class_: _ClassState, running: int, ahead: int, limit: int
    ) -> float:
        """Returns the expected wait as a multiple of the service time."""
        if running + ahead + 1 <= self.class_floor(class_.policy.name, limit):
            # A class below its floor takes precedence over all others.
            return (ahead + 1) / limit
        return (ahead + 1) / (limit * self._capacity_share(class_))

    def _capacity_share(self, class_: _ClassState) -> float:
        """Returns the fraction of the capacity that a class gets now."""
        total = sum(
            c.policy.share
            for c in self._class_by_name.values()
            if c.waiting or c.running or c is class_
        )
        return max(
            class_.policy.share / total, self.class_floor(class_.policy.name, 1)
        )

    def _late_error(
        self, ticket: Ticket, now: datetime.timedelta
    ) -> errors.AdmissionError:
        class_ = self._class_by_name[ticket.priority_class]
        return _overloaded_error(
            f"after a wait of {_ms(now - ticket.arrived)} ms the request "
            "cannot finish in time",
            self._estimated_wait(
                class_, ticket, self._service(ticket.service), now
            ),
        )


def _overloaded_error(
    message: str, wait: datetime.timedelta
) -> errors.AdmissionError:
    return errors.AdmissionError(
        errors.ErrorCode.OVERLOADED,
        message,
        retry_after=min(max(wait, _MIN_RETRY_AFTER), _MAX_RETRY_AFTER),
    )


def _ms(duration: datetime.timedelta) -> int:
    return duration // datetime.timedelta(milliseconds=1)
