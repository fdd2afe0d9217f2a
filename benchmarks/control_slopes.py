"""Cost of control by the number of members of a zone.

Starts that many real control processes in one zone, without leafs. The store
and the owners are played by this process over the same Thrift messages. Fits
processor time, bytes and memory per daemon against the number of members.
"""

import asyncio
import contextlib
import json
import pathlib
import sys
import tempfile
import time
from typing import Any

import common
import numpy as np
import psutil

from sassafrashold import clock as clock_lib
from sassafrashold import documents
from sassafrashold import rpc
from sassafrashold import settings
from sassafrashold import store as store_lib
from sassafrashold import table
from sassafrashold import wire

_MEMBERS = (4, 12, 24, 40, 61)
_SETTLE_S = 12.0
_MEASURE_S = 15.0
_JOIN_TIMEOUT_S = 60.0
_POLL_S = 0.25
_OUTAGE_KEYS = ("core_percent_mean", "core_percent_max", "kb_per_s_max")
_CALL_S = 2.0
_CONTROL = "from sassafrashold.control.main import main; main()"
_CLOCK = clock_lib.SystemClock()


def _address(member: int, port: int) -> settings.Address:
    return settings.Address(f"127.77.1.{member + 1}", port)


def _write_settings(
    directory: pathlib.Path, member: int, gateway: settings.Address
) -> pathlib.Path:
    path = directory / f"control-{member}.ini"
    path.write_text(
        "[control]\n"
        f"host = h{member}\nzone = luzon-a\nlog_level = ERROR\n"
        f"listen = {_address(member, 8003)}\n"
        f"owner = {_address(member, 8002)}\n"
        f"entry = {gateway}\n"
        f"seeds = {_address(0, 8003)}\n",
        encoding="utf-8",
    )
    return path


async def _poll_as_owner(member: int) -> None:
    """Asks a control for its entitlement, as its owner does."""
    client = rpc.Client(_address(member, 8003), _CLOCK)
    epoch = 0
    while True:
        request = wire.messages.EntitlementRequest(
            incarnation=f"i{member}", released_epoch=epoch, leaving=False
        )
        with contextlib.suppress(Exception):
            reply = wire.decode(
                wire.messages.EntitlementReply,
                await client.call(
                    "entitlement",
                    wire.encode(request),
                    deadline=_CLOCK.now() + clock_lib.from_ms(2000),
                ),
            )
            epoch = reply.epoch
        await asyncio.sleep(_POLL_S)


def _members_of_lease(store: store_lib.MemoryStore) -> int:
    stored = store.current("leases/luzon-a")
    if stored is None:
        return 0
    return stored.value.count(b'"incarnation"')


async def _measure(members: int) -> dict[str, Any]:
    store = store_lib.MemoryStore()
    await store.put(table.TABLE_KEY, table.Table(revision=1).encode(), 0)
    hosts = [
        {"host": f"h{member}", "zone": "luzon-a", "state": "live"}
        for member in range(members)
    ]
    as_of = clock_lib.to_unix_ms(_CLOCK.now())
    store.set_host_list(
        as_of, documents.dump({"as_of_unix_ms": as_of, "hosts": hosts})
    )
    server = rpc.Server(store_lib.gateway_handlers(store, store), _CLOCK)
    gateway = await server.start(settings.Address("127.77.0.1", 0))
    processes: list[asyncio.subprocess.Process] = []
    pollers: list[asyncio.Task[None]] = []
    with tempfile.TemporaryDirectory() as name:
        try:
            for member in range(members):
                path = _write_settings(pathlib.Path(name), member, gateway)
                processes.append(
                    await asyncio.create_subprocess_exec(
                        sys.executable, "-c", _CONTROL, "--config", str(path)
                    )
                )
                pollers.append(asyncio.create_task(_poll_as_owner(member)))
            await _until_joined(store, members)
            await asyncio.sleep(_SETTLE_S)
            result = await _sample(store, processes, members)
            if members == _MEMBERS[-1]:
                store.down = True
                await asyncio.sleep(_SETTLE_S)
                outage = await _sample(store, processes, members)
                result |= {f"outage_{key}": outage[key] for key in _OUTAGE_KEYS}
            return result
        finally:
            for poller in pollers:
                poller.cancel()
            for process in processes:
                process.kill()
            for process in processes:
                await process.wait()
            await server.close()


async def _until_joined(store: store_lib.MemoryStore, members: int) -> None:
    started = time.monotonic()
    while _members_of_lease(store) < members:
        if time.monotonic() - started > _JOIN_TIMEOUT_S:
            print(f"only {_members_of_lease(store)} of {members} joined")
            return
        await asyncio.sleep(0.2)


async def _sample(
    store: store_lib.MemoryStore,
    processes: list[asyncio.subprocess.Process],
    members: int,
) -> dict[str, Any]:
    known = [psutil.Process(process.pid) for process in processes]
    core = [_core(process) for process in known]
    sent = [await _gossip_bytes(member) for member in range(members)]
    calls = sum(store.calls.values())
    started = time.monotonic()
    await asyncio.sleep(_MEASURE_S)
    elapsed = time.monotonic() - started
    cores = [
        100 * (_core(process) - used) / elapsed
        for process, used in zip(known, core, strict=True)
    ]
    rates = [
        (await _gossip_bytes(member) - used) / elapsed / 1000
        for member, used in enumerate(sent)
    ]
    memory = [process.memory_full_info() for process in known]
    return {
        "members": members,
        "joined": _members_of_lease(store),
        "core_percent_mean": float(np.mean(cores)),
        "core_percent_max": max(cores),
        "kb_per_s_mean": float(np.mean(rates)),
        "kb_per_s_max": max(rates),
        "rss_mb_max": max(m.rss for m in memory) / 2**20,
        "pss_mb_max": max(m.pss for m in memory) / 2**20,
        "uss_mb_max": max(m.uss for m in memory) / 2**20,
        "store_calls_per_s": (sum(store.calls.values()) - calls) / elapsed,
    }


def _core(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


async def _gossip_bytes(member: int) -> float:
    """Returns the bytes that a control sent and received in exchanges."""
    client = rpc.Client(_address(member, 8003), _CLOCK)
    try:
        reply = wire.decode(
            wire.messages.StatusReply,
            await client.call(
                "status",
                wire.encode(wire.messages.Empty()),
                deadline=_CLOCK.now() + clock_lib.from_ms(2000),
            ),
        )
    finally:
        await client.close()
    facts = json.loads(reply.value)
    facts = facts["facts"] if isinstance(facts, dict) else facts
    return float(
        sum(
            fact["value"] or 0
            for fact in facts
            if fact["name"] in ("gossip_sent_bytes", "gossip_received_bytes")
        )
    )


async def main() -> None:
    """Measures all sizes, fits slopes, and saves the result."""
    results = [await _measure(members) for members in _MEMBERS]
    keys = [key for key in results[0] if key != "members"]
    common.print_table(
        [
            ("members", *keys),
            *(
                (r["members"], *(f"{r[key]:.2f}" for key in keys))
                for r in results
            ),
        ]
    )
    sizes = [r["members"] for r in results]
    fits: dict[str, Any] = {}
    for key in keys:
        values = [r[key] for r in results]
        slope, base = np.polyfit(sizes, values, 1)
        fitted = slope * np.array(sizes) + base
        error = float(np.sqrt(np.mean((fitted - np.array(values)) ** 2)))
        fits[key] = {
            "base": float(base),
            "per_member": float(slope),
            "rms_error": error,
        }
        print(f"{key}: {base:.3f} + {slope:.5f} * members, rms {error:.3f}")
    outage = {key: results[-1][f"outage_{key}"] for key in _OUTAGE_KEYS}
    print(f"store down, {_MEMBERS[-1]} members: {outage}")
    common.save("control_slopes", {"results": results, "fits": fits})


if __name__ == "__main__":
    asyncio.run(main())
