"""Queries over many shards that one host gathers on behalf of others.

In a large deployment each host gets less than one query a second: it learns no
latencies, opens a connection for most calls, and hosts of zones without leafs
fetch every part over the zone border. A few hosts in each zone, those with the
largest links, gather for the others and return one merged answer.

Combining the requests of many clients at a few brokers near the data follows
"Scalable distribution of multi-resolution sensor data streams in a global
broker network", which replicates merged streams instead of single ones.
"""

from sassafrashold.aggregation._choice import AggregatorChoice
from sassafrashold.aggregation._choice import aggregators_by_zone
from sassafrashold.aggregation._choice import weight_by_host
from sassafrashold.aggregation._messages import AggregationReply
from sassafrashold.aggregation._messages import AggregationRequest
from sassafrashold.aggregation._messages import decode_reply
from sassafrashold.aggregation._messages import decode_request
from sassafrashold.aggregation._messages import encode_reply
from sassafrashold.aggregation._messages import encode_request

__all__ = [
    "AggregationReply",
    "AggregationRequest",
    "AggregatorChoice",
    "aggregators_by_zone",
    "decode_reply",
    "decode_request",
    "encode_reply",
    "encode_request",
    "weight_by_host",
]
