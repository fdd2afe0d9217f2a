"""Guards against callers that are turned away while a process loads.

After all hosts had been killed, 73 requests of a day found no listener in the
0.3 s that a process takes to load.
"""

import gc
import subprocess
import sys

import pytest

from sassafrashold import settings
from sassafrashold import sockets
from sassafrashold.platform import main
from sassafrashold.standins import ports

# Modules that take long to load; sockets are opened before.
_HEAVY = ("asyncio", "aiohttp", "click", "sassafrashold.front")


def test_the_module_that_opens_the_sockets_loads_little():
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


def test_callers_can_connect_before_anybody_accepts():
    address = settings.Address("127.0.0.1", ports.free_port())
    listener = sockets.listening_socket(address)
    caller = sockets.stream_socket()
    caller.settimeout(1)
    caller.connect((address.ip, address.port))
    caller.close()
    listener.close()


def test_an_address_in_use_is_an_error():
    address = settings.Address("127.0.0.1", ports.free_port())
    listener = sockets.listening_socket(address)
    with pytest.raises(OSError, match="in use"):
        sockets.listening_socket(address)
    listener.close()


def test_without_options_the_environment_names_the_settings(
    monkeypatch, tmp_path
):
    started = []
    path = tmp_path / "node.conf"
    monkeypatch.setenv("SASSAFRASHOLD_BOOT", str(path))
    monkeypatch.setattr(sys, "argv", ["sassafras-front"])
    monkeypatch.setattr(gc, "disable", lambda: None)
    monkeypatch.setattr(main, "start", lambda *given: started.append(given))
    main.main()
    assert started == [(path, main.METRICS_PORT, main.LOG_LEVEL)]
