"""Guards P1 (one snapshot), P2 (true coverage) and P5 (whole own answers).

Every query is unique and the rows name query, shard and index version, so an
answer that is crossed, mixed or cut shows.
"""

import dataclasses
import json

import pytest

from sassafrashold import index
from sassafrashold import load
from sassafrashold.standins import harness

pytestmark = pytest.mark.asyncio(loop_scope="session")


async def _resets(proof):
    for _ in range(5):
        await proof.until_calls(30)
        await proof.cluster.reset_connections("leaf/")


async def _half_open(proof):
    """Leafs of a zone run calls, but their answers come much later."""
    east = [
        leaf_id
        for leaf_id, record in (
            await proof.cluster.leaf_records(calls=False)
        ).items()
        if record["zone"] == "east"
    ]
    for leaf_id in east:
        await proof.cluster.set_proxy_faults(f"leaf/{leaf_id}", cut="to_client")
    await proof.until_calls(150)
    await proof.cluster.set_proxy_faults("leaf/", cut="none")
    await proof.until_calls(150)


async def _frozen_owner(proof):
    owner = proof.cluster.process_by_name["west-1/owner"]
    owner.pause()
    await proof.until_calls(150)
    owner.resume()
    await proof.until_calls(150)


def _link_fault(**faults):
    async def inject(proof):
        await proof.cluster.set_proxy_faults("leaf/", **faults)
        await proof.until_calls(250)

    return inject


def _leaf_fault(**faults):
    async def inject(proof):
        await proof.cluster.set_leaf_faults({"zone": "east"}, **faults)
        await proof.until_calls(250)

    return inject


_FAULT_BY_NAME = {
    "delay": _link_fault(delay_ms=20, jitter_ms=150),
    "late": _link_fault(late_percent=20, late_ms=400),
    "duplicate": _link_fault(duplicate_percent=20, late_percent=20, late_ms=50),
    "trickle": _link_fault(trickle_bytes_per_second=6000),
    "resets": _resets,
    "half-open": _half_open,
    "frozen-owner": _frozen_owner,
    "other-version": _leaf_fault(answered_version="v1"),
    "lost-and-failed": _leaf_fault(lost_percent=20, fail_percent=20),
}


@pytest.mark.parametrize("name", _FAULT_BY_NAME)
async def test_callers_get_whole_answers_to_their_own_queries(proof, name):
    async with proof.searching(100) as report:
        await _FAULT_BY_NAME[name](proof)
    assert report["wrong_answers"] == {}, report["wrong_answer_examples"]
    assert report["all"]["answered"] > 20, report["all"]
    assert "CONNECTION_LOST" not in report["all"]["by_code"], report["all"]


async def test_missing_shards_are_named(proof):
    """A shard whose replicas are all away is named in every answer.

    The other shard may be missing for a moment too, while its replicas are
    probed after the faults of an earlier test; then it is named as well.
    """
    shards = _stored_map(proof, "almanac").versions[0].replicas
    await proof.cluster.set_leaf_faults(
        {"leaf": list(shards[1])}, unreachable=True
    )
    for leaf_id in shards[1]:
        await proof.cluster.reset_connections(f"leaf/{leaf_id}")
    for host in proof.hosts:
        await harness.until(
            lambda host=host: _misses_only_one(proof, host, stream=False),
            f"{host} misses only shard 1",
            30,
        )
        await harness.until(
            lambda host=host: _misses_only_one(proof, host, stream=True),
            f"{host} misses only shard 1 of a stream",
            30,
        )
        status, answer = await proof.cluster.search(
            host, "almanac", {}, allow_partial=False, deadline_ms=1000
        )
        assert status != 200, answer


async def _misses_only_one(proof, host, stream):
    query = {"asked at": host, "stream": stream}
    if stream:
        *parts, answer = await _lines(proof, host, query)
        rows = [row for part in parts for row in part["rows"]]
        answer = {**answer, "rows": rows}
    else:
        status, answer = await proof.cluster.search(
            host, "almanac", query, allow_partial=True, deadline_ms=1000
        )
        if status != 200:
            return False
    assert load.check_answer("almanac", query, answer) == []
    assert 1 in answer["missing_shards"]
    return answer["missing_shards"] == [1]


async def test_no_answer_mixes_versions_while_the_index_changes(proof):
    """Leafs get a new version and then lose the old ones under load."""
    async with proof.searching(100) as report:
        for service in proof.services:
            await _publish(proof, service, "v3", keep_old=True)
        await proof.until_calls(150)
        for service in proof.services:
            await _publish(proof, service, "v4", keep_old=False)
        await proof.until_calls(250)
    assert report["wrong_answers"] == {}, report["wrong_answer_examples"]
    versions = report["answers_by_version"]
    assert versions.get("v2") and versions.get("v4"), versions


def _stored_map(proof, service):
    return next(
        shardmap
        for shardmap in proof.deployment.stored_shardmaps
        if shardmap.service == service
    )


async def _publish(proof, service, name, keep_old):
    """Gives leafs and the store a shard map with a new, rotated version."""
    stored = _stored_map(proof, service)
    real = next(m for m in proof.deployment.shardmaps if m.service == service)
    new = index.IndexVersion(name, stored.versions[0].replicas[::-1])
    old = stored.versions if keep_old else ()
    for admin in proof.cluster.leaf_admins:
        await proof.cluster.post(
            admin,
            "/admin/shardmap",
            json.loads(
                dataclasses.replace(real, versions=(new, *old)).encode()
            ),
        )
    url = f"http://{proof.deployment.platform}/v1/objects/shardmaps/{service}"
    async with proof.cluster.session.get(url) as response:
        etag = response.headers["ETag"]
    async with proof.cluster.session.put(
        url,
        data=dataclasses.replace(stored, versions=(new, *old)).encode(),
        headers={"If-Match": etag},
    ) as response:
        assert response.status == 200

    async def is_pinned():
        for host in proof.hosts:
            status, answer = await proof.cluster.search(
                host, service, {"pinned": name}, allow_partial=True
            )
            if status != 200 or answer["index_version"] != name:
                return False
        return True

    await harness.until(is_pinned, f"{service} is answered from {name}", 20)


async def _lines(proof, host, query):
    address = proof.deployment.host_by_name[host].entry_http
    async with proof.cluster.session.post(
        f"http://{address}/v1/services/almanac/search",
        json={
            "query": query,
            "allow_partial": True,
            "deadline_ms": 1000,
            "stream": True,
        },
    ) as response:
        lines = (await response.text()).splitlines()
    return [json.loads(line) for line in lines]
