"""Guards what scripts/demo promises: it passes and leaves no process."""

import asyncio
import os
import re
import signal
import sys

import pytest

from sassafrashold.standins import harness

_DEMO = "sassafrashold.standins.demo"
_PID = re.compile(rb"pid (\d+)")


def _is_running(pid):
    try:
        with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
            return file.read().rsplit(")", 1)[1].split()[0] != "Z"
    except OSError:
        return False


async def _start():
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", _DEMO, stdout=asyncio.subprocess.PIPE
    )


async def test_demo_passes():
    demo = await _start()
    async with asyncio.timeout(90):
        output, _ = await demo.communicate()
    assert demo.returncode == 0, output.decode()
    assert output.endswith(b"no process is left\n")


@pytest.mark.parametrize(
    ("signal_number", "code"),
    [(signal.SIGINT, 130), (signal.SIGKILL, -signal.SIGKILL)],
)
async def test_ended_demo_leaves_no_process(signal_number, code):
    demo = await _start()
    assert demo.stdout is not None
    output = b""
    async with asyncio.timeout(60):
        while b"import the table" not in output:
            output += await demo.stdout.readline()
        os.kill(demo.pid, signal_number)
        await demo.wait()
    assert demo.returncode == code
    pids = [int(pid) for pid in _PID.findall(output)]
    assert len(pids) == 11
    await harness.until(
        lambda: not any(map(_is_running, pids)), "all processes end"
    )
