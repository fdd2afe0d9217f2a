"""Fixtures of the tests with real front processes."""

from collections.abc import AsyncIterator
import pathlib
import sys

import pytest_asyncio

sys.path.insert(0, str(pathlib.Path(__file__).parent))

import platform_harness


@pytest_asyncio.fixture
async def harness(
    tmp_path: pathlib.Path,
) -> AsyncIterator[platform_harness.PlatformHarness]:
    """A platform with two front processes that are ready."""
    async with platform_harness.PlatformHarness(tmp_path, fronts=2) as running:
        yield running
