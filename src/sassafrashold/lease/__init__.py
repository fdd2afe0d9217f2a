"""The zone lease: who owns which leaf, and with how many slots."""

from sassafrashold.lease._document import EarlierEpoch
from sassafrashold.lease._document import Member
from sassafrashold.lease._document import ZoneLease
from sassafrashold.lease._document import lease_key

__all__ = ["EarlierEpoch", "Member", "ZoneLease", "lease_key"]
