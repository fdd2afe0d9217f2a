"""One child process of the harness."""

import ctypes
import pathlib
import signal
import subprocess
import sys

from sassafrashold.standins import _waiting

STOP_TIMEOUT_S = 15.0
_PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None)
_LOG_TAIL_BYTES = 2000
_MODULE_BY_BINARY = {
    "entry": "sassafrashold.entry.main",
    "owner": "sassafrashold.owner.main",
    "control": "sassafrashold.control.main",
    "leaf": "sassafrashold.standins.leaf_main",
    "platform": "sassafrashold.standins.platform_main",
    "proxy": "sassafrashold.standins.proxy_main",
}


class Process:
    """One child process and its log file."""

    def __init__(
        self, name: str, binary: str, config: str, directory: pathlib.Path
    ) -> None:
        """Initializes without a start.

        Args:
            name: Unique name, for example `north-1/entry`.
            binary: entry, owner, control, leaf, platform or proxy.
            config: INI file relative to `directory`.
            directory: Working directory; logs go to `logs` in it.
        """
        self.name = name
        self._binary = binary
        self._config = config
        self._directory = directory
        self._child: subprocess.Popen[bytes] | None = None
        self.log = directory / "logs" / f"{name.replace('/', '.')}.log"

    @property
    def pid(self) -> int:
        """Process id of the running process."""
        if self._child is None:
            raise RuntimeError(f"{self.name} has not been started")
        return self._child.pid

    @property
    def returncode(self) -> int | None:
        """Exit code; None while it runs."""
        return None if self._child is None else self._child.poll()

    @property
    def is_running(self) -> bool:
        """Whether the process exists."""
        return self._child is not None and self._child.poll() is None

    def start(self) -> None:
        """Starts the process."""
        if self.is_running:
            raise RuntimeError(f"{self.name} is running")
        self.log.parent.mkdir(parents=True, exist_ok=True)
        # The same call as in the installed script of the binary.
        code = f"from {_MODULE_BY_BINARY[self._binary]} import main; main()"
        with self.log.open("ab") as log:
            self._child = subprocess.Popen(
                [sys.executable, "-c", code, "--config", self._config],
                cwd=self._directory,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                # Ctrl-C reaches only the harness, which then stops the others.
                start_new_session=True,
                # Safe beside threads: it makes one system call and takes no
                # locks.
                preexec_fn=_die_with_parent,  # noqa: PLW1509
            )

    def send(self, signal_number: signal.Signals) -> None:
        """Sends a signal if the process runs."""
        if self._child is not None and self.is_running:
            self._child.send_signal(signal_number)

    def terminate(self) -> None:
        """Asks for a graceful end."""
        self.send(signal.SIGTERM)

    def kill(self) -> None:
        """Ends the process at once and waits for its end."""
        if self._child is not None:
            self.send(signal.SIGKILL)
            self._child.wait()

    def pause(self) -> None:
        """Stops the process until `resume`."""
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Lets a paused process continue."""
        self.send(signal.SIGCONT)

    async def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Waits for the end and returns the exit code.

        Raises:
            TimeoutError: The process still runs.
        """
        await _waiting.until(
            lambda: not self.is_running, f"{self.name} exits", timeout_s
        )
        code = self.returncode
        assert code is not None
        return code

    def log_tail(self) -> str:
        """Returns the end of the log."""
        if not self.log.exists():
            return ""
        data = self.log.read_bytes()
        return data[-_LOG_TAIL_BYTES:].decode(errors="replace")


def _die_with_parent() -> None:
    """Runs in the child: it is killed when the starting thread ends."""
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)
