"""Reading of request bodies."""

import asyncio

from aiohttp import web

from sassafrashold import errors
from sassafrashold.entry import _inputs

_READ_TIMEOUT_S = 10.0


async def read(request: web.Request) -> bytes:
    """Returns the body.

    Raises:
        SassafrasError: BODY_TOO_LARGE or DEADLINE_EXCEEDED, not run.
    """
    try:
        async with asyncio.timeout(_READ_TIMEOUT_S):
            return await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        raise errors.SassafrasError(
            errors.ErrorCode.BODY_TOO_LARGE,
            f"the body has more than {_inputs.MAX_BODY_BYTES} bytes",
            field="body",
        ) from error
    except TimeoutError as error:
        raise errors.SassafrasError(
            errors.ErrorCode.DEADLINE_EXCEEDED,
            f"the body did not arrive within {_READ_TIMEOUT_S:.0f} s",
            field="body",
        ) from error
