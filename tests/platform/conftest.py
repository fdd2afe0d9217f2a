"""Fixtures of the tests on the small platform."""

from collections.abc import AsyncIterator
import pathlib
import sys

import pytest_asyncio

sys.path.insert(0, str(pathlib.Path(__file__).parent))

import platform_world


@pytest_asyncio.fixture
async def world(
    tmp_path: pathlib.Path,
) -> AsyncIterator[platform_world.World]:
    """Two front processes on a small platform."""
    async with platform_world.World(tmp_path, fronts=2) as running:
        yield running
