"""Client of the administration API."""

from __future__ import annotations

import asyncio
import os
import sys
from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import Any

import aiohttp

from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.errors import InvalidConfiguration

if TYPE_CHECKING:
    import argparse

CALL_TIMEOUT_S = 30.0
PROGRESS_AFTER_S = 2.0
ADMIN_VARIABLE = "BRIARFORK_ADMIN"
TOKEN_VARIABLE = "BRIARFORK_TOKEN"
DEFAULT_URL = "http://127.0.0.1:8081"


def add_client_arguments(parser: argparse.ArgumentParser) -> None:
    """Declares the arguments that say where the administration API is."""
    parser.add_argument(
        "--admin",
        default=os.environ.get(ADMIN_VARIABLE, DEFAULT_URL),
        metavar="URL",
        help=f"administration API; default: {ADMIN_VARIABLE} of the environment",
    )
    # Other users of the computer can read the arguments of a command, but not its environment.
    parser.add_argument(
        "--token",
        default=os.environ.get(TOKEN_VARIABLE),
        metavar="TOKEN",
        help=f"token of your team; default: {TOKEN_VARIABLE} of the environment",
    )


class AdminClient:
    """Calls the administration API and turns its errors into those of the closed list."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self._url = arguments.admin
        self._token = arguments.token

    def get(self, path: str, **params: str) -> dict[str, Any]:
        """Reads a resource."""
        return asyncio.run(self._call("GET", path, params, None))

    def post(self, path: str, body: dict[str, Any], **params: str) -> dict[str, Any]:
        """Sends a body to a resource."""
        return asyncio.run(self._call("POST", path, params, body))

    async def _call(
        self, method: str, path: str, params: dict[str, str], body: dict[str, Any] | None
    ) -> dict[str, Any]:
        loop = asyncio.get_running_loop()
        notice = loop.call_later(
            PROGRESS_AFTER_S, lambda: print(f"waiting for {self._url} ...", file=sys.stderr)
        )
        headers = {"Authorization": f"Bearer {self._token}"} if self._token else {}
        try:
            async with (
                asyncio.timeout(CALL_TIMEOUT_S),
                aiohttp.ClientSession(headers=headers) as session,
                session.request(method, self._url + path, params=params, json=body) as answer,
            ):
                content = await answer.json()
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise BriarforkError(
                ErrorKind.STORE_UNAVAILABLE,
                f"{self._url} does not answer: {error or type(error).__name__}",
            ) from error
        finally:
            notice.cancel()
        if answer.status >= HTTPStatus.BAD_REQUEST:
            raise _read_error(content)
        return dict(content)


def _read_error(content: dict[str, Any]) -> BriarforkError:
    if content.get("faults"):
        return InvalidConfiguration(list(content["faults"]))
    return BriarforkError(ErrorKind(content["error"]), content["detail"])
