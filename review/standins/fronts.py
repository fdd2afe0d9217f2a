"""Starts front processes with the command of the deploy file."""

import asyncio
import contextlib
import os
import pathlib
import signal
import subprocess

from sassafrashold.standins import ports

ROOT = pathlib.Path(__file__).resolve().parents[2]
# `run` of `roles.front` in `deploy/system.toml`.
COMMAND = ("python3", "-S", "-m", "sassafrashold.platform.main")
_START_S = 20.0
_BOUNDS = """\
limits.link_mbps=1000.0
limits.memory_mb=300
bounds.drain_ms=3000
bounds.grace_s=6
bounds.retry_budget_ratio=0.2
bounds.retry_budget_burst=56
bounds.budget_window_s=10
bounds.cold_burst_factor=1.5
bounds.cold_slack=5
bounds.evacuation_ms=5000
"""


class Front:
    """One front daemon, in a process of its own."""

    def __init__(
        self,
        folder: pathlib.Path,
        name: str,
        zone: str,
        ip: str,
        store: str,
        seeds: tuple[str, ...] = (),
    ) -> None:
        """Writes the settings file; the metrics port is bound on `ip`."""
        self.name = name
        self.zone = zone
        self.address = f"{ip}:{ports.free_port()}"
        self.ready = f"{ip}:{ports.free_port()}"
        self.control = f"{ip}:{ports.free_port()}"
        self._settings = folder / f"{name}.conf"
        self.log = folder / f"{name}.log"
        self._settings.write_text(
            f"node_name={name}\nrole=front\nmachine_class=front\nip={ip}\n"
            f"zone={zone}\nregion=thies\nlisten.front={self.address}\n"
            f"listen.ready={self.ready}\nlisten.control={self.control}\n"
            f"seeds={','.join(seeds)}\nbootstrap=false\n"
            f"platform.address={store}\n{_BOUNDS}",
            encoding="utf-8",
        )
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process."""
        environment = {
            name: value
            for name, value in os.environ.items()
            if name in ("PATH", "HOME", "LANG")
        }
        environment |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "SASSAFRASHOLD_BOOT": str(self._settings),
            "SSL_CERT_FILE": "/dev/null",
            "SSL_CERT_DIR": "/dev/null",
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_until_ready(self) -> None:
        """Waits until the readiness address answers 200.

        Raises:
            TimeoutError: It did not in time.
        """
        async with asyncio.timeout(_START_S):
            while True:
                if await self.is_ready():
                    return
                await asyncio.sleep(0.05)

    async def is_ready(self) -> bool:
        """Returns whether the readiness address answers 200."""
        ip, _, port = self.ready.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            return False
        try:
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()
        return b" 200 " in line

    def kill(self) -> None:
        """Ends the process with SIGKILL, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            with contextlib.suppress(subprocess.TimeoutExpired):
                self.process.wait(5)
