"""Guards against failed requests that the log lines do not explain."""

import json

from click import testing

from sassafrashold.logs import main


def _json_line(time, message, **fields):
    return json.dumps(
        {"time": time, "host": "h1", "message": message, **fields}
    )


_LOG = "\n".join(
    (
        "not a log line",
        " 3.1 h1 "
        + _json_line("01", "configuration in force", configuration=7),
        _json_line("02", "leaf avoided", leaf="i-9", strikes=3),
        _json_line("02", "leafs changed", removed=["i-8", "i-9"]),
        # A line of an earlier build.
        _json_line("02", "leaf listed", leaf="i-7", draining=False),
        _json_line("03", "request ended", request="r1", outcome="served"),
        _json_line(
            "04",
            "request ended",
            request="r2",
            outcome="leaf_failed",
            route="jobs",
            trail=["12 ms lost at s0 i-9 after 11 ms"],
            lines_left_out=4,
        ),
        _json_line("05", "store lost", cause="timeout"),
        _json_line(
            "06",
            "request ended",
            request="r3",
            outcome="served",
            groups=[
                {"shards": 9, "gathered_by": "h2"},
                {"shards": 4, "trail": ["3 ms rejected at s1 i-9"]},
            ],
        ),
        "{broken",
    )
)


def _run(*arguments):
    return testing.CliRunner().invoke(main.main, arguments, input=_LOG)


def test_request_report_contains_trail_and_host_state():
    result = _run("story", "r2")
    assert result.exit_code == 0
    assert "configuration=7" in result.output
    assert "12 ms lost at s0 i-9" in result.output
    assert "strikes=3" in result.output
    assert "leaf removed: i-9" in result.output
    assert "i-8" not in result.output
    assert "store lost" not in result.output


def test_report_of_a_divided_request_contains_the_trails_of_its_groups():
    result = _run("story", "r3")
    assert "3 ms rejected at s1 i-9" in result.output
    assert "'gathered_by': 'h2'" in result.output


def test_unknown_request_id_is_reported_as_an_error():
    result = _run("story", "r9")
    assert result.exit_code == 1
    assert "no line names request r9" in result.output


def test_failure_counts_include_left_out_lines():
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
