"""Reads the log lines of many hosts and tells what happened to a request."""

from sassafrashold.logs._lines import Line
from sassafrashold.logs._lines import parse
from sassafrashold.logs._reports import Failures
from sassafrashold.logs._reports import failures
from sassafrashold.logs._reports import story

__all__ = [
    "Failures",
    "Line",
    "failures",
    "parse",
    "story",
]
