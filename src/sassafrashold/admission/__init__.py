"""Admission: weighted priority classes, bounded queues, early refusal."""

from sassafrashold.admission._gate import Admitted
from sassafrashold.admission._gate import Gate
from sassafrashold.admission._gate import class_policies
from sassafrashold.admission._limit import ConcurrencyLimit
from sassafrashold.admission._queue import AdmissionQueue
from sassafrashold.admission._queue import ClassPolicy
from sassafrashold.admission._queue import Decision
from sassafrashold.admission._queue import Refuse
from sassafrashold.admission._queue import Start
from sassafrashold.admission._queue import Ticket

__all__ = [
    "AdmissionQueue",
    "Admitted",
    "ClassPolicy",
    "ConcurrencyLimit",
    "Decision",
    "Gate",
    "Refuse",
    "Start",
    "Ticket",
    "class_policies",
]
