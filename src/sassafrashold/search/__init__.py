"""Scatter-gather queries over many shards, with hedges and retries."""

from sassafrashold.extra_load import ExtraLoadBudget
from sassafrashold.search._attempt import Attempt
from sassafrashold.search._attempt import AttemptKind
from sassafrashold.search._coverage import Coverage
from sassafrashold.search._failures import RetryAction
from sassafrashold.search._failures import retry_action_for
from sassafrashold.search._leafs import LeafTracker
from sassafrashold.search._plan import QueryPlan
from sassafrashold.search._plan import Step
from sassafrashold.search._replicas import ReplicaChooser
from sassafrashold.search._request import AttemptReport
from sassafrashold.search._request import PlanReport
from sassafrashold.search._request import SearchAnswer
from sassafrashold.search._request import SearchRequest
from sassafrashold.search._request import ShardRows
from sassafrashold.search._retry import retry_delay
from sassafrashold.search._searcher import Searcher
from sassafrashold.search._searcher import hop_margin
from sassafrashold.search._topology import Replica
from sassafrashold.search._topology import ServiceTopology
from sassafrashold.search._topology import Topologies

__all__ = [
    "Attempt",
    "AttemptKind",
    "AttemptReport",
    "Coverage",
    "ExtraLoadBudget",
    "LeafTracker",
    "PlanReport",
    "QueryPlan",
    "Replica",
    "ReplicaChooser",
    "RetryAction",
    "SearchAnswer",
    "SearchRequest",
    "Searcher",
    "ServiceTopology",
    "ShardRows",
    "Step",
    "Topologies",
    "hop_margin",
    "retry_action_for",
    "retry_delay",
]
