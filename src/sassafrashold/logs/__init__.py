"""Explains failed requests from the log lines of all hosts."""

from sassafrashold.logs._lines import Line
from sassafrashold.logs._lines import parse
from sassafrashold.logs._reports import Failures
from sassafrashold.logs._reports import explain_request
from sassafrashold.logs._reports import failures

__all__ = [
    "Failures",
    "Line",
    "explain_request",
    "failures",
    "parse",
]
