"""Guards against refused connections while a process loads.

A process takes 0.3 s to load. When all hosts restarted at once and listened
only after that, 73 requests found no listener.
"""

import gc
import subprocess
import sys

import pytest

from sassafrashold import settings
from sassafrashold import sockets
from sassafrashold.platform import launch
from sassafrashold.platform import main
from sassafrashold.standins import ports

# Modules that are slow to import; sockets are opened before they are loaded.
_HEAVY = ("asyncio", "aiohttp", "click", "sassafrashold.front")


def test_main_module_imports_no_slow_modules():
    program = (
        "import sys, sassafrashold.platform.main\n"
        f"print([name for name in {_HEAVY!r} if name in sys.modules])"
    )
    ended = subprocess.run(
        [sys.executable, "-c", program],
        check=True,
        capture_output=True,
        text=True,
    )
    assert ended.stdout.strip() == "[]"


def test_connection_succeeds_before_accept():
    address = settings.Address("127.0.0.1", ports.free_port())
    listener = sockets.listening_socket(address)
    caller = sockets.stream_socket()
    caller.settimeout(1)
    caller.connect((address.ip, address.port))
    caller.close()
    listener.close()


def test_address_in_use_raises():
    address = settings.Address("127.0.0.1", ports.free_port())
    listener = sockets.listening_socket(address)
    with pytest.raises(OSError, match="in use"):
        sockets.listening_socket(address)
    listener.close()


def test_settings_path_comes_from_environment(monkeypatch, tmp_path):
    started = []
    path = tmp_path / "node.conf"
    monkeypatch.setenv("SASSAFRASHOLD_BOOT", str(path))
    monkeypatch.setattr(sys, "argv", ["sassafras-front"])
    monkeypatch.setattr(gc, "disable", lambda: None)
    monkeypatch.setattr(launch, "start", lambda *given: started.append(given))
    main.main()
    assert started == [(path, launch.METRICS_PORT, launch.LOG_LEVEL)]
