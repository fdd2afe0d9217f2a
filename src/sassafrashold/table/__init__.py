"""The operators' table: a row per service, marks, edits, history."""

from sassafrashold.table._changes import AddRow
from sassafrashold.table._changes import Change
from sassafrashold.table._changes import Mark
from sassafrashold.table._changes import RemoveRow
from sassafrashold.table._changes import ReplaceRows
from sassafrashold.table._changes import SetCells
from sassafrashold.table._changes import cells_of
from sassafrashold.table._changes import difference
from sassafrashold.table._changes import merge
from sassafrashold.table._csv import format_csv
from sassafrashold.table._csv import parse_csv
from sassafrashold.table._editor import Accepted
from sassafrashold.table._editor import Editor
from sassafrashold.table._editor import Read
from sassafrashold.table._history import HISTORY_PREFIX
from sassafrashold.table._history import Chunk
from sassafrashold.table._history import Revision
from sassafrashold.table._history import read_history
from sassafrashold.table._rows import COLUMNS
from sassafrashold.table._rows import Kind
from sassafrashold.table._rows import ServiceRow
from sassafrashold.table._table import HOSTS_COLUMN
from sassafrashold.table._table import MARKS_SERVICE
from sassafrashold.table._table import TABLE_KEY
from sassafrashold.table._table import ZONES_COLUMN
from sassafrashold.table._table import Cell
from sassafrashold.table._table import Edit
from sassafrashold.table._table import Marks
from sassafrashold.table._table import Table

__all__ = [
    "COLUMNS",
    "HISTORY_PREFIX",
    "HOSTS_COLUMN",
    "MARKS_SERVICE",
    "TABLE_KEY",
    "ZONES_COLUMN",
    "Accepted",
    "AddRow",
    "Cell",
    "Change",
    "Chunk",
    "Edit",
    "Editor",
    "Kind",
    "Mark",
    "Marks",
    "Read",
    "RemoveRow",
    "ReplaceRows",
    "Revision",
    "ServiceRow",
    "SetCells",
    "Table",
    "cells_of",
    "difference",
    "format_csv",
    "merge",
    "parse_csv",
    "read_history",
]
