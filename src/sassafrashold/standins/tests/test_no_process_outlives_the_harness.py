"""Guards other runs against processes that a harness leaves behind."""

import os
import pathlib
import signal
import subprocess
import sys

import pytest

from sassafrashold.standins import deployment
from sassafrashold.standins import harness

_SCRIPT = """
import dataclasses, pathlib, sys, time
from sassafrashold.standins import deployment, harness
made = dataclasses.replace(deployment.SMALL, network=int(sys.argv[2]))
cluster = harness.Cluster(made, pathlib.Path(sys.argv[1]))
platform = cluster.process_by_name["platform"]
platform.start()
print(platform.pid, flush=True)
time.sleep(60)
"""


def _exists(pid):
    try:
        state = pathlib.Path(f"/proc/{pid}/stat").read_text().split()[2]
    except OSError:
        return False
    return state != "Z"


def _start_and_kill_a_harness(directory, network):
    """Returns the pid of the harness's child."""
    script = [sys.executable, "-c", _SCRIPT, str(directory), str(network)]
    with subprocess.Popen(script, stdout=subprocess.PIPE) as parent:
        assert parent.stdout is not None
        pid = int(parent.stdout.readline())
        assert _exists(pid)
        os.kill(parent.pid, signal.SIGKILL)
    return pid


async def test_children_end_when_the_harness_is_killed(tmp_path):
    with harness.reserved_network() as network:
        pid = _start_and_kill_a_harness(tmp_path, network)
        await harness.until(lambda: not _exists(pid), "the child ends")


async def test_children_end_when_the_start_fails(tmp_path):
    with harness.reserved_network() as network:
        cluster = harness.Cluster(
            deployment.placed(deployment.SMALL, network), tmp_path
        )
        (tmp_path / "leafs-0.ini").write_text("[leaf]\n")
        with pytest.raises(RuntimeError, match="exited with"):
            async with cluster:
                pass
    running = [p for p in cluster.process_by_name.values() if p.is_running]
    assert running == []


async def test_paused_process_is_ended_too(tmp_path):
    with harness.reserved_network() as network:
        cluster = harness.Cluster(
            deployment.placed(deployment.SMALL, network), tmp_path
        )
        platform = cluster.process_by_name["platform"]
        platform.start()
        platform.pause()
        await cluster.close()
    assert platform.returncode == -signal.SIGKILL
