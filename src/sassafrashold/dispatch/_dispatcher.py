"""Runs dispatches at most once, guarded by durable claims."""

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
_MAX_CLAIM_ATTEMPTS = 5
_RESOLUTION_BACKOFF = store_lib.Backoff(attempts=5)
# The answer to the caller waits up to this long until the result is stored,
# so that an immediate retry finds it. A slow store does not delay it further.
_MAX_RECORD_WAIT = datetime.timedelta(milliseconds=250)


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Result of a dispatch that ran."""

    result: bytes
    """Body that the leaf returned."""

    replayed: bool
    """Whether the result was recorded by an earlier attempt."""


class Dispatcher:
    """Runs each dispatch at most once across all hosts and retries."""

    def __init__(
        self,
        store: store_lib.ObjectStore,
        host: str,
        clock: clock_lib.Clock,
        *,
        new_id: Callable[[], str] = lambda: uuid.uuid4().hex,
        resolution_backoff: store_lib.Backoff = _RESOLUTION_BACKOFF,
        recording_backoff: store_lib.Backoff = _recorder.BACKOFF,
        record_wait: datetime.timedelta = _MAX_RECORD_WAIT,
    ) -> None:
        """Initializes the dispatcher.

        Args:
            store: The store that holds the claims.
            host: Id of this host.
            clock: The clock.
            new_id: Generates the unique id of a claim.
            resolution_backoff: Number and delays of the attempts to resolve a
                write whose answer was lost.
            recording_backoff: Delays between attempts to record a result; the
                number of attempts is not bounded.
            record_wait: Maximum time that an answer waits for the recording of
                its result.
        """
        self._store = store
        self._host = host
        self._clock = clock
        self._new_id = new_id
        self._resolution_backoff = resolution_backoff
        self._record_wait = record_wait
        self._recorder = _recorder.Recorder(store, recording_backoff)

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
            send: Sends the request; called with the claim id. Raises a
                `SassafrasError` with NOT_RUN only if the request certainly
                did not run.
            is_first_attempt: Whether the caller states that no earlier attempt
                with this key was sent.

        Raises:
            DispatchError: With NOT_RUN if no attempt with this key has run
                (for KEY_REUSED: none with this body). This is certain if this
                host holds the claim or `is_first_attempt` is set. Otherwise
                with OUTCOME_UNKNOWN.
        """
        _claim.check_key(key)
        ran_before_claim = (
            errors.Ran.NOT_RUN
            if is_first_attempt
            else errors.Ran.OUTCOME_UNKNOWN
        )
        if self._recorder.is_full:
            raise errors.DispatchError(
                errors.ErrorCode.OVERLOADED,
                "too many results wait to be recorded",
                ran=ran_before_claim,
            )
        claim = _claim.Claim(
            self._new_id(),
            self._host,
            _claim.body_hash(body),
            self._clock.now(),
        )
        claim_attempt = _ClaimAttempt(
            self._store,
            _claim.claim_key(service, key),
            claim,
            self._clock,
            self._resolution_backoff,
            ran_before_claim,
        )
        result = await self._claim(claim_attempt, deadline)
        if result is not None:
            return Outcome(result, replayed=True)
        return await self._send(claim_attempt, deadline, send)

    async def drain(self, timeout: datetime.timedelta) -> int:
        """Waits for pending records, then cancels them.

        Returns:
            The number of cancelled records.
        """
        return await self._recorder.drain(timeout)

    async def _claim(
        self, claim_attempt: "_ClaimAttempt", deadline: datetime.datetime
    ) -> bytes | None:
        """Creates the claim, or returns the result of an earlier attempt."""
        remaining = deadline - self._clock.now()
        if remaining <= datetime.timedelta():
            raise _deadline_exceeded(claim_attempt.ran_before_claim)
        try:
            async with asyncio.timeout(remaining.total_seconds()):
                return await claim_attempt.run(deadline)
        except TimeoutError as error:
            self._release_uncertain(claim_attempt)
            raise claim_attempt.failure("no answer in time") from error
        except asyncio.CancelledError:
            self._release_uncertain(claim_attempt)
            raise
        except errors.StoreError as error:
            self._release_uncertain(claim_attempt)
            raise claim_attempt.failure(error.message) from error

    def _release_uncertain(self, claim_attempt: "_ClaimAttempt") -> None:
        """Releases a claim that may be stored although nothing was sent.

        Without the release, retries would fail with OUTCOME_UNKNOWN.
        """
        if claim_attempt.may_be_stored:
            self._recorder.start(
                claim_attempt.record(claim_attempt.claim.with_release())
            )

    async def _send(
        self,
        claim_attempt: "_ClaimAttempt",
        deadline: datetime.datetime,
        send: Callable[[str], Awaitable[bytes]],
    ) -> Outcome:
        claim = claim_attempt.claim
        if self._clock.now() >= deadline:
            await self._record(claim_attempt.record(claim.with_release()))
            raise _deadline_exceeded(errors.Ran.NOT_RUN)
        try:
            result = await send(claim.claim_id)
        except errors.SassafrasError as error:
            if error.ran is errors.Ran.OUTCOME_UNKNOWN:
                raise _claim.outcome_unknown(str(error)) from error
            await self._record(claim_attempt.record(claim.with_release()))
            raise errors.DispatchError(
                error.code,
                error.message,
                field=error.field,
                retry_after=error.retry_after,
            ) from error
        except Exception as error:
            _LOGGER.exception("sending a dispatch failed")
            raise _claim.outcome_unknown(
                f"{type(error).__name__} in send"
            ) from error
        await self._record(claim_attempt.record(claim.with_result(result)))
        return Outcome(result, replayed=False)

    async def _record(self, record: _recorder.Record) -> None:
        """Starts to record a claim and waits up to `record_wait`."""
        task = self._recorder.start(record)
        await asyncio.wait({task}, timeout=self._record_wait.total_seconds())


class _ClaimAttempt:
    """The attempt to create one claim in the store."""

    def __init__(
        self,
        store: store_lib.ObjectStore,
        key: str,
        claim: _claim.Claim,
        clock: clock_lib.Clock,
        resolution_backoff: store_lib.Backoff,
        ran_before_claim: errors.Ran,
    ) -> None:
        self.claim = claim
        # Whether an attempt with this key may have run, as long as it is not
        # certain that this host holds the claim.
        self.ran_before_claim = ran_before_claim
        # True from the first write, unless the write certainly had no effect.
        self.may_be_stored = False
        self._store = store
        self._key = key
        self._clock = clock
        self._resolution_backoff = resolution_backoff
        self._version = 0
        self._is_contested = False

    def record(self, claim: _claim.Claim) -> _recorder.Record:
        """Returns the record that stores a new state of the claim."""
        return _recorder.Record(self._key, claim, self._version)

    def failure(self, reason: str) -> errors.DispatchError:
        """Returns the error for a claim that could not be confirmed."""
        if self._is_contested:
            return _claim.outcome_unknown(
                f"the key has an earlier claim that cannot be read: {reason}"
            )
        return errors.DispatchError(
            errors.ErrorCode.STORE_UNAVAILABLE,
            f"the claim could not be confirmed, nothing was sent: {reason}",
            ran=self.ran_before_claim,
        )

    async def run(self, deadline: datetime.datetime) -> bytes | None:
        """Creates the claim, or replaces a released one.

        Returns:
            The result of an earlier attempt; None if the claim was created.

        Raises:
            StoreError: The creation of the claim could not be confirmed.
            DispatchError: See `Claim.check_reusable`.
        """
        for _ in range(_MAX_CLAIM_ATTEMPTS):
            try:
                await self._put(deadline)
                return None
            except errors.StoreConflictError as error:
                result = await self._read_other_claim(error.found)
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
                self._is_own_claim,
                clock=self._clock,
                deadline=deadline,
                backoff=self._resolution_backoff,
            )
        except errors.StoreError as error:
            self.may_be_stored = error.ran is errors.Ran.OUTCOME_UNKNOWN
            raise
        self._version = stored.version

    def _is_own_claim(self, value: bytes) -> bool:
        try:
            claim = _claim.Claim.decode(self._key, value)
        except errors.DocumentError:
            return False
        return claim.claim_id == self.claim.claim_id

    async def _read_other_claim(self, found_version: int) -> bytes | None:
        """Reads the claim of another attempt after a conflict.

        Returns:
            The recorded result; None if the claim was released or deleted.
        """
        if found_version == 0:
            self._version = 0
            return None
        self._is_contested = True
        stored = await self._read_at_least(found_version)
        try:
            claim = _claim.Claim.decode(self._key, stored.value)
        except errors.DocumentError as error:
            raise _claim.outcome_unknown(str(error)) from error
        result = claim.check_reusable(self.claim.body_hash)
        self._version = stored.version
        self._is_contested = False
        return result

    async def _read_at_least(self, min_version: int) -> store_lib.Stored:
        """Reads the claim until the result has at least a known version."""
        for attempt in range(1, self._resolution_backoff.attempts + 1):
            stored = await self._store.get(self._key)
            if stored is not None and stored.version >= min_version:
                return stored
            delay = self._resolution_backoff.delay(attempt)
            await asyncio.sleep(delay.total_seconds())
        raise errors.StoreError(
            errors.ErrorCode.STORE_UNAVAILABLE,
            f"{self._key!r}: reads are older than version {min_version}",
        )


def _deadline_exceeded(ran: errors.Ran) -> errors.DispatchError:
    return errors.DispatchError(
        errors.ErrorCode.DEADLINE_EXCEEDED,
        "the deadline passed before the request was sent",
        ran=ran,
    )
