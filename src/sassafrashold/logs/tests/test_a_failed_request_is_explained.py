"""Guards against complaints that logs can't explain."""

import json

from click import testing

from sassafrashold.logs import main


def _line(time, message, **fields):
    return json.dumps(
        {"time": time, "host": "h1", "message": message, **fields}
    )


_LINES = "\n".join(
    (
        "not a log line",
        " 3.1 h1 " + _line("01", "configuration in force", configuration=7),
        _line("02", "leaf avoided", leaf="i-9", strikes=3),
        _line("03", "request ended", request="r1", outcome="served"),
        _line(
            "04",
            "request ended",
            request="r2",
            outcome="leaf_failed",
            route="jobs",
            trail=["12 ms lost at s0 i-9 after 11 ms"],
            lines_left_out=4,
        ),
        _line("05", "store lost", cause="timeout"),
        "{broken",
    )
)


def _run(*arguments):
    return testing.CliRunner().invoke(main.main, arguments, input=_LINES)


def test_the_story_of_a_request_names_leafs_and_versions():
    result = _run("story", "r2")
    assert result.exit_code == 0
    assert "configuration=7" in result.output
    assert "12 ms lost at s0 i-9" in result.output
    assert "strikes=3" in result.output
    assert "store lost" not in result.output


def test_an_unknown_request_is_said_to_be_unknown():
    result = _run("story", "r9")
    assert result.exit_code == 1
    assert "no line names request r9" in result.output


def test_failures_are_counted_by_cause_with_lines_left_out():
    result = _run("failures")
    assert result.output.split() == [
        "5",
        "leaf_failed",
        "jobs",
        "for",
        "example",
        "r2",
    ]
    assert _run("failures", "--start", "05").output == ""
