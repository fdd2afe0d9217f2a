"""Load generation against entries, checks of answers, comparisons."""

from sassafrashold.load._check import check_answer
from sassafrashold.load._dispatch import DispatchPlan
from sassafrashold.load._dispatch import run_dispatches
from sassafrashold.load._plan import Entry
from sassafrashold.load._plan import SearchPlan
from sassafrashold.load._plan import Target
from sassafrashold.load._report import compare
from sassafrashold.load._report import format_report
from sassafrashold.load._search import run_searches

__all__ = [
    "DispatchPlan",
    "Entry",
    "SearchPlan",
    "Target",
    "check_answer",
    "compare",
    "format_report",
    "run_dispatches",
    "run_searches",
]
