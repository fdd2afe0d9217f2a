"""Queries over many shards that one host gathers on behalf of others.

In a large deployment each host gets less than one query a second: it learns no
latencies, opens a connection for most calls, and fetches the parts of shards
without a leaf in its zone one by one over the zone border. A few hosts in each
zone, those with the largest links, gather for the others: a query goes to one
of them in its own zone and, for the other shards, to one in another zone that
holds them. Each returns the merged records of its shards.

Combining the requests of many clients at a few brokers near the data follows
"Scalable distribution of multi-resolution sensor data streams in a global
broker network", which replicates merged streams instead of single ones.
"""

from sassafrashold.aggregation._choice import AggregatorChoice
from sassafrashold.aggregation._choice import ShardGroup
from sassafrashold.aggregation._choice import aggregators_by_zone
from sassafrashold.aggregation._choice import weight_by_host
from sassafrashold.aggregation._messages import AggregationRequest
from sassafrashold.aggregation._messages import MergedParts
from sassafrashold.aggregation._messages import decode_parts_head
from sassafrashold.aggregation._messages import decode_request
from sassafrashold.aggregation._messages import encode_parts
from sassafrashold.aggregation._messages import encode_request

__all__ = [
    "AggregationRequest",
    "AggregatorChoice",
    "MergedParts",
    "ShardGroup",
    "aggregators_by_zone",
    "decode_parts_head",
    "decode_request",
    "encode_parts",
    "encode_request",
    "weight_by_host",
]
