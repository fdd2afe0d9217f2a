"""Lets the tests listed in KNOWN-RED.txt fail without failing the run."""

import pathlib

import pytest

_LIST = pathlib.Path(__file__).parent / "KNOWN-RED.txt"


def _known_red() -> frozenset[str]:
    lines = _LIST.read_text(encoding="utf-8").splitlines()
    return frozenset(
        line for line in lines if line and not line.startswith((" ", "#"))
    )


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks exactly the listed tests; they still run."""
    known = _known_red()
    for item in items:
        if item.nodeid.split("[")[0] in known or item.nodeid in known:
            item.add_marker(
                pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False)
            )


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Prints the listed tests and how they ended."""
    for outcome, text in (
        ("xfailed", "failed as listed in KNOWN-RED.txt"),
        ("xpassed", "passed although listed in KNOWN-RED.txt"),
    ):
        for report in terminalreporter.stats.get(outcome, []):
            terminalreporter.write_line(f"{report.nodeid}: {text}")
