"""The binary `sassafras-leaf`: stand-ins for many leafs in one process.

Addresses, index versions and shards come from the shard maps in `objects`,
capacity and timing from a section per service in the file `services` (a
section `default` serves the services that have none).
"""

import asyncio
import configparser
import dataclasses
import pathlib

from aiohttp import web

from sassafrashold import clock as clock_lib
from sassafrashold import index
from sassafrashold import process
from sassafrashold import settings
from sassafrashold.standins import _leaf
from sassafrashold.standins import _leaf_admin
from sassafrashold.standins import _leaf_server
from sassafrashold.standins import _profile

_DEFAULT_SECTION = "default"


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeafSettings(process.ProcessSettings):
    """The section `[leaf]`."""

    admin: settings.Address
    """Address of the admin interface."""

    objects: pathlib.Path
    """Directory of initial objects; its shard maps name the leafs."""

    services: pathlib.Path
    """INI file with a section for each service or `default`."""

    zones: tuple[str, ...] = ()
    """Zones whose leafs this process serves; all if empty."""

    seed: int = 1
    """Seed of service times and random faults."""

    record_limit: int = settings.option(default=100_000, minimum=0)
    """Newest calls that the record of a leaf keeps."""


def load_leafs(
    values: LeafSettings, clock: clock_lib.Clock
) -> dict[str, _leaf.Leaf]:
    """Returns the leafs by id that the settings describe.

    Raises:
        SettingsError: A section is missing or has a wrong value.
        DocumentError: A shard map cannot be read.
    """
    sections = configparser.ConfigParser(interpolation=None)
    sections.read(values.services, encoding="utf-8")
    leaf_by_id: dict[str, _leaf.Leaf] = {}
    for path in sorted((values.objects / "shardmaps").iterdir()):
        shardmap = index.ShardMap.decode(path.read_bytes())
        service = shardmap.service
        section = service if sections.has_section(service) else _DEFAULT_SECTION
        profile = settings.load(values.services, section, _profile.Profile)
        for leaf_id, leaf in shardmap.leaf_by_id.items():
            if values.zones and leaf.zone not in values.zones:
                continue
            leaf_by_id[leaf_id] = _leaf.Leaf(
                leaf,
                service,
                profile,
                _leaf_admin.shards_by_version(shardmap, leaf_id),
                clock,
                values.seed,
                values.record_limit,
            )
    return leaf_by_id


async def run(values: LeafSettings, stopping: asyncio.Event) -> None:
    """Serves the leafs until `stopping` is set."""
    clock = clock_lib.SystemClock()
    server_by_leaf = {
        leaf_id: _leaf_server.LeafServer(leaf)
        for leaf_id, leaf in load_leafs(values, clock).items()
    }
    for server in server_by_leaf.values():
        await server.start()
    runner = web.AppRunner(
        _leaf_admin.Admin(server_by_leaf).application(), access_log=None
    )
    await runner.setup()
    await web.TCPSite(runner, values.admin.ip, values.admin.port).start()
    await stopping.wait()
    for server in server_by_leaf.values():
        await server.close()
    await runner.cleanup()


main = process.command("leaf", LeafSettings, run)

if __name__ == "__main__":
    main()
