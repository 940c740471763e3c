"""HTTP client for the administration API."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import Any

import aiohttp

from briarfork.border.connector import BoundedConnector
from briarfork.border.responses import read_body
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.errors import InvalidConfiguration

if TYPE_CHECKING:
    import argparse

REQUEST_TIMEOUT_S = 30.0
PROGRESS_DELAY_S = 2.0
# All documents, or a page of 1,000 changes.
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
ADMIN_URL_ENV = "BRIARFORK_ADMIN"
TOKEN_ENV = "BRIARFORK_TOKEN"
DEFAULT_URL = "http://127.0.0.1:8081"


def add_connection_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments for the URL and the token of the administration API."""
    parser.add_argument(
        "--admin",
        default=os.environ.get(ADMIN_URL_ENV, DEFAULT_URL),
        metavar="URL",
        help=f"URL of the administration API; default: {ADMIN_URL_ENV} in the environment",
    )
    # Other users of the host can read the arguments of a process, but not its environment, so
    # the token should be passed through the environment variable.
    parser.add_argument(
        "--token",
        default=os.environ.get(TOKEN_ENV),
        metavar="TOKEN",
        help=f"token of your team; default: {TOKEN_ENV} in the environment",
    )


class AdminClient:
    """Calls the administration API and converts its error responses to `BriarforkError`."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self._url = arguments.admin
        self._token = arguments.token

    def get(self, path: str, **params: str) -> dict[str, Any]:
        """Returns the JSON body of a GET request.

        Raises:
            BriarforkError: If the API responds with an error or does not respond in time.
        """
        return asyncio.run(self._request("GET", path, params, None))

    def post(self, path: str, body: dict[str, Any], **params: str) -> dict[str, Any]:
        """Returns the JSON body of the response to a POST request.

        Raises:
            BriarforkError: If the API responds with an error or does not respond in time.
        """
        return asyncio.run(self._request("POST", path, params, body))

    async def _request(
        self, method: str, path: str, params: dict[str, str], body: dict[str, Any] | None
    ) -> dict[str, Any]:
        loop = asyncio.get_running_loop()
        progress_timer = loop.call_later(
            PROGRESS_DELAY_S, lambda: print(f"waiting for {self._url} ...", file=sys.stderr)
        )
        headers = {"Authorization": f"Bearer {self._token}"} if self._token else {}
        try:
            async with (
                asyncio.timeout(REQUEST_TIMEOUT_S),
                aiohttp.ClientSession(headers=headers, connector=BoundedConnector()) as session,
                session.request(method, self._url + path, params=params, json=body) as response,
            ):
                payload = json.loads(await read_body(response, MAX_RESPONSE_BYTES))
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError, RecursionError) as error:
            raise BriarforkError(
                ErrorKind.STORE_UNAVAILABLE,
                f"{self._url} does not respond: {error or type(error).__name__}",
            ) from error
        finally:
            progress_timer.cancel()
        if response.status >= HTTPStatus.BAD_REQUEST:
            raise _parse_error(payload)
        return dict(payload)


def _parse_error(payload: dict[str, Any]) -> BriarforkError:
    if payload.get("faults"):
        return InvalidConfiguration(list(payload["faults"]))
    return BriarforkError(ErrorKind(payload["error"]), payload["detail"])
