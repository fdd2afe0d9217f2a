"""Membership of a zone: gossip, failure detection, rendezvous hashing."""

from sassafrashold.membership._entries import Description
from sassafrashold.membership._entries import Entry
from sassafrashold.membership._entries import Promise
from sassafrashold.membership._entries import Report
from sassafrashold.membership._entries import State
from sassafrashold.membership._entries import is_merge_noop
from sassafrashold.membership._entries import merge
from sassafrashold.membership._members import FORGET_AFTER
from sassafrashold.membership._members import REMOVE_AFTER
from sassafrashold.membership._members import SUSPECT_AFTER
from sassafrashold.membership._members import Members
from sassafrashold.membership._platform_hosts import PlatformHosts
from sassafrashold.membership._rendezvous import TreeNeighbours
from sassafrashold.membership._rendezvous import choose
from sassafrashold.membership._rendezvous import rank
from sassafrashold.membership._rendezvous import tree_neighbours

__all__ = [
    "FORGET_AFTER",
    "REMOVE_AFTER",
    "SUSPECT_AFTER",
    "Description",
    "Entry",
    "Members",
    "PlatformHosts",
    "Promise",
    "Report",
    "State",
    "TreeNeighbours",
    "choose",
    "is_merge_noop",
    "merge",
    "rank",
    "tree_neighbours",
]
