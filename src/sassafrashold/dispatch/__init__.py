"""At-most-once execution of non-idempotent requests by durable claims."""

from sassafrashold.dispatch._claim import CLAIM_PREFIX
from sassafrashold.dispatch._claim import MAX_RESULT_BYTES
from sassafrashold.dispatch._claim import Claim
from sassafrashold.dispatch._claim import ClaimState
from sassafrashold.dispatch._claim import check_key
from sassafrashold.dispatch._claim import claim_key
from sassafrashold.dispatch._cleanup import CLAIM_LIFETIME
from sassafrashold.dispatch._cleanup import Cleanup
from sassafrashold.dispatch._cleanup import delete_expired
from sassafrashold.dispatch._dispatcher import Dispatcher
from sassafrashold.dispatch._dispatcher import Outcome

__all__ = [
    "CLAIM_LIFETIME",
    "CLAIM_PREFIX",
    "MAX_RESULT_BYTES",
    "Claim",
    "ClaimState",
    "Cleanup",
    "Dispatcher",
    "Outcome",
    "check_key",
    "claim_key",
    "delete_expired",
]
