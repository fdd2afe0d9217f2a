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
# Results are stored in base64; the store limits values to 1 MB.
MAX_RESULT_BYTES = 256 * 1024

_KEY_FIELD = "Idempotency-Key"
_KEY_PATTERN = re.compile(r"[!-~]{1,128}")


class ClaimState(enum.Enum):
    """Execution state of a dispatch."""

    CLAIMED = "claimed"
    """The dispatch may be in progress, or may have run."""

    DONE = "done"
    """The dispatch ran."""

    RELEASED = "released"
    """The dispatch did not run, and will not under this claim."""


@dataclasses.dataclass(frozen=True)
class Claim:
    """The durable record of one dispatch.

    Only the host that generated the claim id changes the claim until it is
    released. A released claim may be replaced by any host with its own claim.
    """

    claim_id: str
    """Unique id of the only attempt that may send the request."""

    host: str
    """Id of the host that runs the attempt."""

    body_hash: str
    """Hash of the request body."""

    claimed_at: datetime.datetime
    """Creation time of the claim in UTC, by the clock of the host."""

    state: ClaimState = ClaimState.CLAIMED
    """Execution state of the dispatch."""

    result: bytes | None = None
    """Result; None if it did not run or its result was too large to store."""

    def with_result(self, result: bytes) -> "Claim":
        """Returns a copy in state DONE; omits a result that is too large."""
        stored_result = result if len(result) <= MAX_RESULT_BYTES else None
        return dataclasses.replace(
            self, state=ClaimState.DONE, result=stored_result
        )

    def with_release(self) -> "Claim":
        """Returns a copy in state RELEASED."""
        return dataclasses.replace(self, state=ClaimState.RELEASED)

    def check_reusable(self, other_body_hash: str) -> bytes | None:
        """Returns the recorded result for another attempt with the same key.

        Args:
            other_body_hash: Body hash of the other attempt.

        Returns:
            The recorded result; None if the claim was released and may be
            replaced by a conditional update.

        Raises:
            DispatchError: KEY_REUSED, not run, if the bodies differ.
                OUTCOME_UNKNOWN if the dispatch may have run, or ran and its
                result was too large to store.
        """
        if self.body_hash != other_body_hash:
            raise errors.DispatchError(
                errors.ErrorCode.KEY_REUSED,
                "the key was used with another body",
                field=_KEY_FIELD,
            )
        match self.state:
            case ClaimState.RELEASED:
                return None
            case ClaimState.CLAIMED:
                raise outcome_unknown(
                    f"host {self.host} claimed this key and may have run it"
                )
            case ClaimState.DONE:
                if self.result is None:
                    raise outcome_unknown(
                        "it ran; its result was too large to keep"
                    )
                return self.result
        typing.assert_never(self.state)

    @classmethod
    def decode(cls, key: str, data: bytes) -> "Claim":
        """Parses a stored claim.

        Raises:
            DocumentError: The document is malformed.
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
        """Returns the JSON document to store."""
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
    """Validates an idempotency key and returns it.

    Raises:
        DispatchError: KEY_MISSING or BAD_REQUEST, not run.
    """
    if not key:
        raise errors.DispatchError(
            errors.ErrorCode.KEY_MISSING,
            f"a dispatch needs the header {_KEY_FIELD}",
            field=_KEY_FIELD,
        )
    if not _KEY_PATTERN.fullmatch(key):
        raise errors.DispatchError(
            errors.ErrorCode.BAD_REQUEST,
            "expected 1 to 128 visible ASCII characters",
            field=_KEY_FIELD,
        )
    return key


def claim_key(service: str, key: str) -> str:
    """Returns the key of a claim in the store.

    Dots are encoded too, because a client of the store may remove path segments
    that consist of dots.
    """
    return CLAIM_PREFIX + "/".join(
        urllib.parse.quote(part, safe="").replace(".", "%2E")
        for part in (service, key)
    )


def body_hash(body: bytes) -> str:
    """Returns the hash by which request bodies are compared."""
    return xxhash.xxh3_128_hexdigest(body)


def outcome_unknown(message: str) -> errors.DispatchError:
    """Returns the error for a dispatch that may have run."""
    return errors.DispatchError(
        errors.ErrorCode.OUTCOME_UNKNOWN,
        message,
        ran=errors.Ran.OUTCOME_UNKNOWN,
    )
