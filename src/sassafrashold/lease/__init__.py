"""The zone lease: who owns which leaf, and with how many slots."""

from sassafrashold.lease._document import KEY_PREFIX
from sassafrashold.lease._document import EarlierEpoch
from sassafrashold.lease._document import Member
from sassafrashold.lease._document import ZoneLease
from sassafrashold.lease._document import lease_key
from sassafrashold.lease._evidence import LEASE_TIME
from sassafrashold.lease._evidence import Proof
from sassafrashold.lease._release import Situation
from sassafrashold.lease._state import MAX_EARLIER
from sassafrashold.lease._state import LeaseState
from sassafrashold.lease._write import Outcome
from sassafrashold.lease._write import Write
from sassafrashold.lease._write import WriteKind

__all__ = [
    "KEY_PREFIX",
    "LEASE_TIME",
    "MAX_EARLIER",
    "EarlierEpoch",
    "LeaseState",
    "Member",
    "Outcome",
    "Proof",
    "Situation",
    "Write",
    "WriteKind",
    "ZoneLease",
    "lease_key",
]
