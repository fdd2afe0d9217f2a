"""Outlier detection of leafs across all hosts of an availability zone.

In a zone with many hosts, each host calls a given leaf at most once per second,
so a single host detects a slow leaf too late. All hosts report their call
results to one host of the zone, which answers with the leafs to avoid and with
the zones that some host can't reach.
"""

from sassafrashold.leaf_health._avoided_leafs import AvoidedLeafs
from sassafrashold.leaf_health._messages import Report
from sassafrashold.leaf_health._messages import ZoneHealth
from sassafrashold.leaf_health._messages import decode_report
from sassafrashold.leaf_health._messages import decode_zone_health
from sassafrashold.leaf_health._messages import encode_report
from sassafrashold.leaf_health._messages import encode_zone_health
from sassafrashold.leaf_health._outliers import Outlier
from sassafrashold.leaf_health._outliers import OutlierDetector
from sassafrashold.leaf_health._tallies import Tally
from sassafrashold.leaf_health._tallies import TallyCounter
from sassafrashold.leaf_health._zones import UnreachableZones

__all__ = [
    "AvoidedLeafs",
    "Outlier",
    "OutlierDetector",
    "Report",
    "Tally",
    "TallyCounter",
    "UnreachableZones",
    "ZoneHealth",
    "decode_report",
    "decode_zone_health",
    "encode_report",
    "encode_zone_health",
]
