"""The claim of one dispatch, as stored at `claims/{service}/{key}`."""

import base64
import binascii
import dataclasses
import datetime
import enum
import re
import typing
import urllib.parse

import xxhash

from sassafrashold import clock as clock_lib
from sassafrashold import documents
from sassafrashold import errors

CLAIM_PREFIX = "claims/"
# A result is stored in base64 inside a value of at most 1 MB.
MAX_RESULT_BYTES = 256 * 1024

_KEY_FIELD = "Idempotency-Key"
_KEY = re.compile(r"[!-~]{1,128}")


class ClaimState(enum.Enum):
    """What is known of a dispatch."""

    CLAIMED = "claimed"
    """It may be in progress, or may have run."""

    DONE = "done"
    """It ran."""

    RELEASED = "released"
    """It certainly did not run."""


@dataclasses.dataclass(frozen=True)
class Claim:
    """The durable record of one dispatch.

    Only the host that drew the claim id changes the claim, until it is
    released; then another host may replace it with a claim of its own.
    """

    claim_id: str
    """Unique id of the one attempt that may send the request."""

    host: str
    """Host of that attempt."""

    body_hash: str
    """Hash of the request body."""

    claimed_at: datetime.datetime
    """When the claim was made, UTC, by the host's clock."""

    state: ClaimState = ClaimState.CLAIMED
    """What is known of the dispatch."""

    result: bytes | None = None
    """Result, if it ran; None as well if the result was too large to keep."""

    def with_result(self, result: bytes) -> "Claim":
        """Returns the claim as done; keeps a result that is not too large."""
        kept = result if len(result) <= MAX_RESULT_BYTES else None
        return dataclasses.replace(self, state=ClaimState.DONE, result=kept)

    def with_release(self) -> "Claim":
        """Returns the claim as released."""
        return dataclasses.replace(self, state=ClaimState.RELEASED)

    def check_reusable(self, hash_of_body: str) -> bytes | None:
        """Decides what another attempt with the same key does.

        Args:
            hash_of_body: Hash of the body of the other attempt.

        Returns:
            The recorded result; None if the claim was released and may be
            replaced by a conditional update.

        Raises:
            DispatchError: KEY_REUSED, not run, for another body. Otherwise
                OUTCOME_UNKNOWN: it may have run, or it ran and its result was
                too large to keep.
        """
        if self.body_hash != hash_of_body:
            raise errors.DispatchError(
                errors.ErrorCode.KEY_REUSED,
                "the key was used with another body",
                field=_KEY_FIELD,
            )
        match self.state:
            case ClaimState.RELEASED:
                return None
            case ClaimState.CLAIMED:
                raise unknown(
                    f"host {self.host} claimed this key and may have run it"
                )
            case ClaimState.DONE:
                if self.result is None:
                    raise unknown("it ran; its result was too large to keep")
                return self.result
        typing.assert_never(self.state)

    @classmethod
    def decode(cls, key: str, data: bytes) -> "Claim":
        """Parses the stored document.

        Raises:
            DocumentError: It is malformed.
        """
        document = documents.parse(key, data)
        result = document.get("result")
        try:
            return cls(
                documents.get(key, document, "claim_id", str),
                documents.get(key, document, "host", str),
                documents.get(key, document, "body_hash", str),
                clock_lib.from_unix_ms(
                    documents.get(key, document, "claimed_at_unix_ms", int)
                ),
                ClaimState(documents.get(key, document, "state", str)),
                None if result is None else base64.b64decode(result),
            )
        except (
            ValueError,
            TypeError,
            OverflowError,
            binascii.Error,
        ) as error:
            raise documents.invalid(key, str(error)) from error

    def encode(self) -> bytes:
        """Returns the stored form."""
        return documents.dump(
            {
                "claim_id": self.claim_id,
                "host": self.host,
                "body_hash": self.body_hash,
                "claimed_at_unix_ms": clock_lib.to_unix_ms(self.claimed_at),
                "state": self.state.value,
                "result": (
                    None
                    if self.result is None
                    else base64.b64encode(self.result).decode()
                ),
            }
        )


def check_key(key: str) -> str:
    """Returns a valid idempotency key.

    Raises:
        DispatchError: KEY_MISSING or BAD_REQUEST, not run.
    """
    if not key:
        raise errors.DispatchError(
            errors.ErrorCode.KEY_MISSING,
            f"a dispatch needs the header {_KEY_FIELD}",
            field=_KEY_FIELD,
        )
    if not _KEY.fullmatch(key):
        raise errors.DispatchError(
            errors.ErrorCode.BAD_REQUEST,
            "expected 1 to 128 visible ASCII characters",
            field=_KEY_FIELD,
        )
    return key


def claim_key(service: str, key: str) -> str:
    """Returns the key of a claim in the store.

    The dot is encoded too, because a client of the store may drop path segments
    of dots only.
    """
    return CLAIM_PREFIX + "/".join(
        urllib.parse.quote(part, safe="").replace(".", "%2E")
        for part in (service, key)
    )


def body_hash(body: bytes) -> str:
    """Returns the hash that tells two bodies apart."""
    return xxhash.xxh3_128_hexdigest(body)


def unknown(message: str) -> errors.DispatchError:
    """Returns the error for a dispatch that may have run."""
    return errors.DispatchError(
        errors.ErrorCode.OUTCOME_UNKNOWN,
        message,
        ran=errors.Ran.OUTCOME_UNKNOWN,
    )
