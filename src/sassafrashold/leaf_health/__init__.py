"""Outlier detection of leafs across all hosts of an availability zone.

In a zone with many hosts, each host calls a given leaf at most once per second,
so a single host detects a slow leaf too late. All hosts report their call
results to one host of the zone, which answers with the leafs to avoid and with
the zones that some host can't reach.
"""

from sassafrashold.leaf_health._avoided_leafs import AvoidedLeafs
from sassafrashold.leaf_health._messages import News
from sassafrashold.leaf_health._messages import Report
from sassafrashold.leaf_health._messages import decode_news
from sassafrashold.leaf_health._messages import decode_report
from sassafrashold.leaf_health._messages import encode_news
from sassafrashold.leaf_health._messages import encode_report
from sassafrashold.leaf_health._outliers import Outlier
from sassafrashold.leaf_health._outliers import ZoneVerdicts
from sassafrashold.leaf_health._tallies import Tally
from sassafrashold.leaf_health._tallies import TallyCounter
from sassafrashold.leaf_health._zones import SilentZones

__all__ = [
    "AvoidedLeafs",
    "News",
    "Outlier",
    "Report",
    "SilentZones",
    "Tally",
    "TallyCounter",
    "ZoneVerdicts",
    "decode_news",
    "decode_report",
    "encode_news",
    "encode_report",
]
