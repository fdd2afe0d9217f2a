"""Runs dispatches under durable claims."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import datetime
import logging
import uuid

from sassafrashold import clock as clock_lib
from sassafrashold import errors
from sassafrashold import store as store_lib
from sassafrashold.dispatch import _claim
from sassafrashold.dispatch import _recorder

_LOGGER = logging.getLogger(__name__)
_CLAIM_ATTEMPTS = 5
_RESOLUTION = store_lib.Backoff(attempts=5)
# A caller's answer waits this long for the record, so that a retry right after
# the answer finds it; a slow store does not delay the answer further.
_RECORD_WAIT = datetime.timedelta(milliseconds=250)


@dataclasses.dataclass(frozen=True)
class Outcome:
    """A dispatch that ran."""

    result: bytes
    """What the leaf returned."""

    replayed: bool
    """Whether the result is that of an earlier attempt."""


class Dispatcher:
    """Runs each dispatch at most once, over all hosts and retries."""

    def __init__(
        self,
        store: store_lib.ObjectStore,
        host: str,
        clock: clock_lib.Clock,
        *,
        new_id: Callable[[], str] = lambda: uuid.uuid4().hex,
        resolution: store_lib.Backoff = _RESOLUTION,
        recording: store_lib.Backoff = _recorder.BACKOFF,
        record_wait: datetime.timedelta = _RECORD_WAIT,
    ) -> None:
        """Initializes the dispatcher.

        Args:
            store: The store with the claims.
            host: Id of this host.
            clock: The clock.
            new_id: Draws the unique id of a claim.
            resolution: Bounds the attempts to resolve a lost answer.
            recording: Delays between attempts to record a result; the
                attempts are not bounded.
            record_wait: How long an answer waits for its record.
        """
        self._store = store
        self._host = host
        self._clock = clock
        self._new_id = new_id
        self._resolution = resolution
        self._record_wait = record_wait
        self._recorder = _recorder.Recorder(store, recording)

    async def run(
        self,
        service: str,
        key: str,
        body: bytes,
        deadline: datetime.datetime,
        send: Callable[[str], Awaitable[bytes]],
        *,
        is_first_attempt: bool = False,
    ) -> Outcome:
        """Claims a dispatch, sends it, and records its result.

        Args:
            service: Name of the service.
            key: Idempotency key of the caller.
            body: Body of the request.
            deadline: Wall time after which nothing is sent.
            send: Sends the request; gets the claim id. It raises a
                `SassafrasError` with NOT_RUN only if it certainly did not run.
            is_first_attempt: Whether the caller states that no earlier attempt
                with this key was sent.

        Raises:
            DispatchError: With NOT_RUN if no attempt with this key has run
                (for KEY_REUSED: not with this body), which is known while this
                host holds the claim or from `is_first_attempt`. Otherwise with
                OUTCOME_UNKNOWN.
        """
        _claim.check_key(key)
        before_claim = (
            errors.Ran.NOT_RUN
            if is_first_attempt
            else errors.Ran.OUTCOME_UNKNOWN
        )
        if self._recorder.is_full:
            raise errors.DispatchError(
                errors.ErrorCode.OVERLOADED,
                "too many results wait to be recorded",
                ran=before_claim,
            )
        claim = _claim.Claim(
            self._new_id(),
            self._host,
            _claim.body_hash(body),
            self._clock.now(),
        )
        claiming = _Claiming(
            self._store,
            _claim.claim_key(service, key),
            claim,
            self._clock,
            self._resolution,
            before_claim,
        )
        result = await self._claim(claiming, deadline)
        if result is not None:
            return Outcome(result, replayed=True)
        return await self._send(claiming, deadline, send)

    async def drain(self, timeout: datetime.timedelta) -> int:
        """Waits for records under way.

        Returns:
            The number of records given up.
        """
        return await self._recorder.drain(timeout)

    async def _claim(
        self, claiming: "_Claiming", deadline: datetime.datetime
    ) -> bytes | None:
        """Makes the claim, or returns the result of an earlier attempt."""
        remaining = deadline - self._clock.now()
        if remaining <= datetime.timedelta():
            raise _too_late(claiming.before_claim)
        try:
            async with asyncio.timeout(remaining.total_seconds()):
                return await claiming.run(deadline)
        except TimeoutError as error:
            self._release_uncertain(claiming)
            raise claiming.failure("no answer in time") from error
        except asyncio.CancelledError:
            self._release_uncertain(claiming)
            raise
        except errors.StoreError as error:
            self._release_uncertain(claiming)
            raise claiming.failure(error.message) from error

    def _release_uncertain(self, claiming: "_Claiming") -> None:
        """Releases a claim that may be in the store although it is not used.

        Without this, retries would be told that the outcome is unknown.
        """
        if claiming.may_be_stored:
            self._recorder.start(claiming.record(claiming.claim.with_release()))

    async def _send(
        self,
        claiming: "_Claiming",
        deadline: datetime.datetime,
        send: Callable[[str], Awaitable[bytes]],
    ) -> Outcome:
        claim = claiming.claim
        if self._clock.now() >= deadline:
            await self._record(claiming.record(claim.with_release()))
            raise _too_late(errors.Ran.NOT_RUN)
        try:
            result = await send(claim.claim_id)
        except errors.SassafrasError as error:
            if error.ran is errors.Ran.OUTCOME_UNKNOWN:
                raise _claim.unknown(str(error)) from error
            await self._record(claiming.record(claim.with_release()))
            raise errors.DispatchError(
                error.code,
                error.message,
                field=error.field,
                retry_after=error.retry_after,
            ) from error
        except Exception as error:
            _LOGGER.exception("sending a dispatch failed")
            raise _claim.unknown(f"{type(error).__name__} in send") from error
        await self._record(claiming.record(claim.with_result(result)))
        return Outcome(result, replayed=False)

    async def _record(self, record: _recorder.Record) -> None:
        """Starts a record and waits for it a short time."""
        task = self._recorder.start(record)
        await asyncio.wait({task}, timeout=self._record_wait.total_seconds())


class _Claiming:
    """The attempt to make one claim."""

    def __init__(
        self,
        store: store_lib.ObjectStore,
        key: str,
        claim: _claim.Claim,
        clock: clock_lib.Clock,
        resolution: store_lib.Backoff,
        before_claim: errors.Ran,
    ) -> None:
        self.claim = claim
        # What is known of the key before the claim is certain.
        self.before_claim = before_claim
        # True from the first write until it is certain that it had no effect.
        self.may_be_stored = False
        self._store = store
        self._key = key
        self._clock = clock
        self._resolution = resolution
        self._version = 0
        self._is_contested = False

    def record(self, claim: _claim.Claim) -> _recorder.Record:
        """Returns the record of a new state of the claim."""
        return _recorder.Record(self._key, claim, self._version)

    def failure(self, reason: str) -> errors.DispatchError:
        """Returns the error for a claim that could not be made certain."""
        if self._is_contested:
            return _claim.unknown(
                f"the key has an earlier claim that cannot be read: {reason}"
            )
        return errors.DispatchError(
            errors.ErrorCode.STORE_UNAVAILABLE,
            f"the claim could not be made certain, nothing was sent: {reason}",
            ran=self.before_claim,
        )

    async def run(self, deadline: datetime.datetime) -> bytes | None:
        """Creates the claim, or replaces a released one.

        Returns:
            The result of an earlier attempt; None if the claim is made.

        Raises:
            StoreError: The claim is not certain.
            DispatchError: As `Claim.check_reusable`.
        """
        for _ in range(_CLAIM_ATTEMPTS):
            try:
                await self._put(deadline)
                return None
            except errors.StoreConflictError as error:
                result = await self._look(error.found)
                if result is not None:
                    return result
        raise errors.StoreError(
            errors.ErrorCode.STORE_UNAVAILABLE, "the claim keeps changing"
        )

    async def _put(self, deadline: datetime.datetime) -> None:
        self.may_be_stored = True
        try:
            stored = await store_lib.put_resolved(
                self._store,
                self._key,
                self.claim.encode(),
                self._version,
                self._is_ours,
                clock=self._clock,
                deadline=deadline,
                backoff=self._resolution,
            )
        except errors.StoreError as error:
            self.may_be_stored = error.ran is errors.Ran.OUTCOME_UNKNOWN
            raise
        self._version = stored.version

    def _is_ours(self, value: bytes) -> bool:
        try:
            claim = _claim.Claim.decode(self._key, value)
        except errors.DocumentError:
            return False
        return claim.claim_id == self.claim.claim_id

    async def _look(self, found: int) -> bytes | None:
        """Reads the claim of another attempt.

        Returns:
            Its result; None if it was released or deleted.
        """
        if found == 0:
            self._version = 0
            return None
        self._is_contested = True
        stored = await self._read(found)
        try:
            claim = _claim.Claim.decode(self._key, stored.value)
        except errors.DocumentError as error:
            raise _claim.unknown(str(error)) from error
        result = claim.check_reusable(self.claim.body_hash)
        self._version = stored.version
        self._is_contested = False
        return result

    async def _read(self, at_least: int) -> store_lib.Stored:
        """Reads until the answer is not older than a known version."""
        for attempt in range(1, self._resolution.attempts + 1):
            stored = await self._store.get(self._key)
            if stored is not None and stored.version >= at_least:
                return stored
            delay = self._resolution.delay(attempt)
            await asyncio.sleep(delay.total_seconds())
        raise errors.StoreError(
            errors.ErrorCode.STORE_UNAVAILABLE,
            f"{self._key!r}: reads are older than version {at_least}",
        )


def _too_late(ran: errors.Ran) -> errors.DispatchError:
    return errors.DispatchError(
        errors.ErrorCode.DEADLINE_EXCEEDED,
        "the deadline passed before the request was sent",
        ran=ran,
    )
