"""Fixtures that start whole deployments as processes."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import pathlib
from typing import Any

import pytest

from sassafrashold.standins import deployment as deployment_lib
from sassafrashold.standins import harness

StartDeployment = Callable[..., Awaitable[harness.Cluster]]


@pytest.fixture
async def start_deployment(
    tmp_path: pathlib.Path,
) -> AsyncIterator[StartDeployment]:
    """Yields a coroutine function that starts a deployment.

    Its keywords replace fields of the small deployment (or of `base`); the
    table is among the initial objects. The call returns when every entry is
    ready. All processes end with the test.
    """
    async with contextlib.AsyncExitStack() as stack:

        async def start(
            base: deployment_lib.Deployment = deployment_lib.SMALL,
            **changes: Any,
        ) -> harness.Cluster:
            made = dataclasses.replace(base, **({"with_table": True} | changes))
            return await stack.enter_async_context(
                harness.running(made, tmp_path, graceful_end=False)
            )

        yield start


@pytest.fixture
async def cluster(start_deployment: StartDeployment) -> harness.Cluster:
    """Returns the running small deployment."""
    return await start_deployment()
