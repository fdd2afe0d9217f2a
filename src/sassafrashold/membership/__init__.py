"""Hosts of a zone: gossip, failure detection, rendezvous hashing."""

from sassafrashold.membership._rendezvous import choose
from sassafrashold.membership._rendezvous import rank

__all__ = ["choose", "rank"]
