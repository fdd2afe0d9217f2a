"""What entry hosts say over HTTP: facts and explanations."""

import asyncio
import dataclasses
import datetime
import json
from typing import Any
import urllib.parse

import aiohttp
import yarl

from sassafrashold import settings

_TIMEOUT = datetime.timedelta(seconds=2)


@dataclasses.dataclass(frozen=True)
class Fact:
    """One fact as somebody knows it."""

    name: str
    """What it is about, for example `table_revision`."""

    subject: str
    """Host, zone, leaf or object."""

    value: Any
    """JSON value; None if it is unknown."""

    age_ms: int | None
    """How old the knowledge is; None if unknown."""

    source: str
    """Who knows it: process at the address that was asked."""

    reason: str = ""
    """Why it is unknown, if there is a reason."""


@dataclasses.dataclass(frozen=True)
class Answer:
    """Answer of one entry host to one request."""

    entry: settings.Address
    """Address that was asked."""

    status: int
    """HTTP status; 0 if there was no answer."""

    document: Any
    """JSON body; the reason as text if there was no answer."""


async def ask_all(
    entries: tuple[settings.Address, ...], path: str
) -> list[Answer]:
    """Sends a GET to all entries at once."""
    async with aiohttp.ClientSession(
        timeout=aiohttp.ClientTimeout(total=_TIMEOUT.total_seconds())
    ) as session:
        return await asyncio.gather(
            *(_ask(session, entry, path) for entry in entries)
        )


def explain_path(request_id: str) -> str:
    """Returns the path of the explanation of a request."""
    return "/v1/explain/" + urllib.parse.quote(request_id, safe="")


async def facts(
    entries: tuple[settings.Address, ...],
) -> dict[settings.Address, list[Fact]]:
    """Returns the facts of all entries; an unknown one for no answer."""
    answers = await ask_all(entries, "/v1/status")
    return {answer.entry: _facts(answer) for answer in answers}


async def _ask(
    session: aiohttp.ClientSession, entry: settings.Address, path: str
) -> Answer:
    url = yarl.URL(f"http://{entry}{path}", encoded=True)
    try:
        async with session.get(
            url, headers={"Accept": "application/json"}
        ) as response:
            return Answer(
                entry, response.status, json.loads(await response.read())
            )
    except (aiohttp.ClientError, TimeoutError) as error:
        return Answer(entry, 0, str(error) or type(error).__name__)
    except (ValueError, RecursionError) as error:
        return Answer(entry, 0, f"malformed answer: {error}")


def _facts(answer: Answer) -> list[Fact]:
    place = str(answer.entry)
    if answer.status != 200 or not isinstance(answer.document, list):
        reason = (
            str(answer.document)
            if answer.status == 0
            else f"status {answer.status}"
        )
        return [Fact("status", place, None, None, f"entry@{place}", reason)]
    return [
        Fact(
            str(value.get("name")),
            str(value.get("subject")),
            value.get("value"),
            value.get("age_ms"),
            f"{value.get('source')}@{place}",
            str(value.get("reason", "")),
        )
        for value in answer.document
        if isinstance(value, dict)
    ]
