"""Writes the files of a deployment: settings, table, initial objects.

Run as `python -m sassafrashold.standins.deployment NAME OUT_DIR`. All paths in
the files are relative to OUT_DIR, where the processes have to be started.
"""

import configparser
import csv
import dataclasses
import io
import json
import pathlib
from typing import Any

import click

from sassafrashold import index
from sassafrashold import table as table_lib
from sassafrashold.standins import _profile
from sassafrashold.standins import _shape

Deployment = _shape.Deployment
Host = _shape.Host
ServiceGroup = _shape.ServiceGroup
Zone = _shape.Zone

_SMALL: dict[str, Any] = {
    "leafs": 3,
    "shards": 3,
    "slots": 3,
    "connections": 30,
}

TOITSURE = Deployment(
    name="toitsure",
    zones=(
        Zone("thies-nord", 3),
        Zone("dakar-pikine", 3),
        Zone("kaolack-centre", 2),
    ),
    groups=(
        ServiceGroup(
            name="guichet-dispatch",
            count=10,
            connect_ms=6,
            cells={"kind": "both", "priority_class": "guichet"},
            **_SMALL,
        ),
        ServiceGroup(name="stock-toles", count=15, connect_ms=6, **_SMALL),
        ServiceGroup(
            name="dossier-menage",
            leafs=14,
            shards=7,
            slots=2,
            connections=110,
            connect_ms=1,
        ),
        ServiceGroup(
            name="paie-equipes",
            leafs=7,
            shards=7,
            slots=2,
            connections=110,
            connect_ms=1,
        ),
    ),
)

BUWAN_HANAP = Deployment(
    name="buwan-hanap",
    zones=(
        Zone("luzon-a", 3),
        Zone("visayas-a", 3),
        Zone("mindanao-a", 2),
    ),
    groups=(
        # Lookups of the planting season come before everything else.
        ServiceGroup(
            name="almanac-portal",
            count=10,
            connect_ms=6,
            cells={
                "priority_class": "almanac",
                "priority_share": "60",
                "priority_floor_percent": "50",
            },
            **_SMALL,
        ),
        ServiceGroup(
            name="fiesta-board",
            count=15,
            connect_ms=6,
            cells={"kind": "both"},
            **_SMALL,
        ),
        # Archive retrieval may wait but must arrive complete.
        ServiceGroup(
            name="records-desk",
            leafs=14,
            shards=7,
            slots=2,
            connections=35,
            connect_ms=1,
            cells={
                "deadline_ms": "10000",
                "priority_class": "archive",
                "priority_share": "5",
                "priority_floor_percent": "5",
                "allow_partial": "no",
            },
            profile={"service_ms": 20.0},
        ),
        ServiceGroup(
            name="tide-desk",
            leafs=7,
            shards=7,
            slots=2,
            connections=35,
            connect_ms=1,
        ),
    ),
)

SMALL = Deployment(
    name="small",
    zones=(Zone("north", 1), Zone("east", 1), Zone("south", 1)),
    groups=(
        ServiceGroup(
            name="almanac",
            connect_ms=6,
            cells={
                "priority_class": "almanac",
                "priority_share": "60",
                "priority_floor_percent": "50",
            },
            **_SMALL,
        ),
        ServiceGroup(
            name="guichet", connect_ms=6, cells={"kind": "both"}, **_SMALL
        ),
        ServiceGroup(
            name="records",
            leafs=7,
            shards=7,
            slots=2,
            connections=35,
            connect_ms=1,
            cells={
                "priority_class": "archive",
                "priority_share": "5",
                "allow_partial": "no",
                "deadline_ms": "5000",
            },
        ),
    ),
    versions=("v2", "v1"),
)

DEPLOYMENT_BY_NAME = {
    deployment.name: deployment for deployment in (TOITSURE, BUWAN_HANAP, SMALL)
}


def write(deployment: Deployment, directory: pathlib.Path) -> None:
    """Writes all files of a deployment below a directory."""
    for host in deployment.hosts:
        _write_host(deployment, host, directory / "hosts" / host.name)
    _write_platform(deployment, directory)
    _write_leafs(deployment, directory)
    _write_shardmaps(deployment.stored_shardmaps, directory / "objects")
    if deployment.proxied:
        _write_shardmaps(deployment.shardmaps, directory / "leaf-objects")
        _write_proxy(deployment, directory)
    _write_text(directory / "table.csv", table_csv(deployment.table))
    if deployment.with_table:
        _write_json(
            directory / "objects" / f"{table_lib.TABLE_KEY}.json",
            json.loads(deployment.table.encode()),
        )


def placed(deployment: Deployment, network: int) -> Deployment:
    """Returns the deployment in another loopback network."""
    return dataclasses.replace(deployment, network=network)


def table_csv(table: table_lib.Table) -> str:
    """Returns the rows of a table as CSV with a header."""
    rows = [row.cells() for row in table.rows]
    buffer = io.StringIO()
    writer = csv.DictWriter(buffer, list(rows[0]), lineterminator="\n")
    writer.writeheader()
    writer.writerows(rows)
    return buffer.getvalue()


def host_lines(deployment: Deployment) -> list[dict[str, str]]:
    """Returns the platform's first host list: entry and upstream hosts."""
    zone_by_host = {host.name: host.zone for host in deployment.hosts}
    for shardmap in deployment.shardmaps:
        for leaf in shardmap.leaf_by_id.values():
            zone_by_host[leaf.host] = leaf.zone
    return [
        {"host": host, "zone": zone, "state": "live"}
        for host, zone in sorted(zone_by_host.items())
    ]


def leaf_process_zones(deployment: Deployment) -> list[tuple[str, ...]]:
    """Returns the zones of each leaf process; empty for all zones."""
    if deployment.leaf_processes == 1:
        return [()]
    names = [zone.name for zone in deployment.zones]
    count = min(deployment.leaf_processes, len(names))
    return [tuple(names[number::count]) for number in range(count)]


def proxy_pairs(deployment: Deployment) -> list[tuple[str, str, str]]:
    """Returns name, listen address and target of each proxied link.

    Links are named `platform/ZONE` (from the hosts of a zone to the platform)
    and `leaf/LEAF_ID`.
    """
    pairs = [
        (
            f"platform/{zone.name}",
            str(deployment.platform_for(zone.name)),
            str(deployment.platform),
        )
        for zone in deployment.zones
    ]
    for real, stored in zip(
        deployment.shardmaps, deployment.stored_shardmaps, strict=True
    ):
        for leaf_id, leaf in real.leaf_by_id.items():
            listen = stored.leaf_by_id[leaf_id].address
            pairs.append((f"leaf/{leaf_id}", str(listen), str(leaf.address)))
    return pairs


def _write_host(
    deployment: Deployment, host: Host, directory: pathlib.Path
) -> None:
    common = {
        "host": host.name,
        "zone": host.zone,
        "log_level": deployment.log_level,
    }
    seeds = [
        next(
            str(known.control)
            for known in deployment.hosts
            if known.zone == zone.name
        )
        for zone in deployment.zones
    ]
    values_by_process: dict[str, dict[str, Any]] = {
        "entry": {
            "listen_http": host.entry_http,
            "listen_thrift": host.entry_thrift,
            "control": host.control,
            "owner": host.owner,
            "platform": deployment.platform_for(host.zone),
            **deployment.entry_options,
        },
        "owner": {
            "listen": host.owner,
            "control": host.control,
            **deployment.owner_options,
        },
        "control": {
            "listen": host.control,
            "owner": host.owner,
            "entry": host.entry_thrift,
            "seeds": ",".join(seeds),
            **deployment.control_options,
        },
    }
    for process, values in values_by_process.items():
        _write_ini(directory / f"{process}.ini", {process: common | values})


def _write_platform(deployment: Deployment, directory: pathlib.Path) -> None:
    _write_ini(
        directory / "platform.ini",
        {
            "platform": {
                "host": "platform",
                "zone": "platform",
                "log_level": deployment.log_level,
                "listen": deployment.platform,
                "admin": deployment.platform_admin,
                "objects": "objects",
                "hosts": "hosts.json",
                "seed": deployment.seed,
                **deployment.platform_options,
            }
        },
    )
    _write_json(directory / "hosts.json", host_lines(deployment))


def _write_leafs(deployment: Deployment, directory: pathlib.Path) -> None:
    for number, zones in enumerate(leaf_process_zones(deployment)):
        values = {
            "host": f"upstreams-{number}",
            "zone": "upstreams",
            "log_level": deployment.log_level,
            "admin": deployment.leaf_admin(number),
            "objects": "leaf-objects" if deployment.proxied else "objects",
            "services": "services.ini",
            "seed": deployment.seed,
        }
        if zones:
            values["zones"] = ",".join(zones)
        _write_ini(directory / f"leafs-{number}.ini", {"leaf": values})
    sections = {}
    for group in deployment.groups:
        profile = deployment.profile_of(group)
        for service in group.services:
            sections[service] = _profile_texts(profile)
    _write_ini(directory / "services.ini", sections)


def _profile_texts(profile: _profile.Profile) -> dict[str, Any]:
    return {
        name: ("yes" if value else "no") if isinstance(value, bool) else value
        for name, value in dataclasses.asdict(profile).items()
    }


def _write_proxy(deployment: Deployment, directory: pathlib.Path) -> None:
    _write_ini(
        directory / "proxy.ini",
        {
            "proxy": {
                "host": "proxy",
                "zone": "proxy",
                "log_level": deployment.log_level,
                "admin": deployment.proxy_admin,
                "pairs": ",\n".join(
                    " ".join(pair) for pair in proxy_pairs(deployment)
                ),
                "seed": deployment.seed,
            }
        },
    )


def _write_shardmaps(
    shardmaps: tuple[index.ShardMap, ...], objects: pathlib.Path
) -> None:
    for shardmap in shardmaps:
        _write_json(
            objects / f"{index.shardmap_key(shardmap.service)}.json",
            json.loads(shardmap.encode()),
        )


def _write_ini(
    path: pathlib.Path, values_by_section: dict[str, dict[str, Any]]
) -> None:
    parser = configparser.ConfigParser(interpolation=None)
    for section, values in values_by_section.items():
        parser[section] = {key: str(value) for key, value in values.items()}
    buffer = io.StringIO()
    parser.write(buffer)
    _write_text(path, buffer.getvalue().rstrip("\n") + "\n")


def _write_json(path: pathlib.Path, value: Any) -> None:
    _write_text(path, json.dumps(value, indent=1, ensure_ascii=False) + "\n")


def _write_text(path: pathlib.Path, text: str) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(text, encoding="utf-8")


@click.command()
@click.argument("name", type=click.Choice(sorted(DEPLOYMENT_BY_NAME)))
@click.argument("out_dir", type=click.Path(path_type=pathlib.Path))
@click.option(
    "--with-table", is_flag=True, help="Add the table to the initial objects."
)
@click.option(
    "--proxied", is_flag=True, help="Put the proxy before platform and leafs."
)
@click.option(
    "--network",
    type=click.IntRange(0, 255),
    default=0,
    help="Second octet of all addresses.",
)
def main(
    name: str,
    out_dir: pathlib.Path,
    with_table: bool,
    proxied: bool,
    network: int,
) -> None:
    """Writes the files of the deployment NAME into OUT_DIR."""
    write(
        dataclasses.replace(
            DEPLOYMENT_BY_NAME[name],
            with_table=with_table,
            proxied=proxied,
            network=network,
        ),
        out_dir,
    )


if __name__ == "__main__":
    main()
