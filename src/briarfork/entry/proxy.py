"""The request path: from a caller's request to a response or an error of `ErrorKind`."""

from __future__ import annotations

import asyncio
import itertools
import time
import uuid
from typing import TYPE_CHECKING
from urllib.parse import unquote

from aiohttp import web

from briarfork.border.events import Event
from briarfork.border.metrics import Metric
from briarfork.entry.delivery import Call
from briarfork.entry.delivery import Delivery
from briarfork.entry.forward import DEADLINE_HEADER
from briarfork.entry.forward import AttemptFailed
from briarfork.entry.forward import BufferedResponse
from briarfork.errors import ErrorKind
from briarfork.errors import NotRun
from briarfork.errors import OutcomeUnknown
from briarfork.requests import RETRY_RATIO
from briarfork.requests import AttemptResult
from briarfork.requests import Claim
from briarfork.requests import Deadline
from briarfork.requests import FailedAttempt
from briarfork.requests import RetryBudget
from briarfork.requests import StoredResponse
from briarfork.requests import digest_body
from briarfork.requests import digest_request
from briarfork.requests import validate_idempotency_key

if TYPE_CHECKING:
    from briarfork.configuration import Service
    from briarfork.entry.process import EntryProcess

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
MAX_ATTEMPTS = 3


class Proxy:
    """Forwards the requests of callers to backend servers."""

    def __init__(self, process: EntryProcess) -> None:
        self._process = process
        self._settings = process.settings
        self._retry_budget = RetryBudget(RETRY_RATIO)

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Handles one request.

        Raises:
            BriarforkError: If the caller gets an error response.
        """
        steering = self._process.view.require_steering()
        service = steering.plan.services.get(request.match_info["service"])
        if service is None:
            raise NotRun(
                ErrorKind.UNKNOWN_SERVICE,
                f"service {request.match_info['service']!r} is not configured",
            )
        self._process.metrics.count(Metric.REQUESTS, service.name)
        call = await self._read_call(request, service)
        claim = self._build_claim(call, service)
        if claim is None:
            response = await self._send(call, service)
            assert isinstance(response, web.StreamResponse)
            return response
        return await self._process.claimed_requests.run_to_completion(
            self._send_claimed(call, service, claim)
        )

    async def _read_call(self, request: web.Request, service: Service) -> Call:
        path = read_path(request)
        route = service.find_route(path)
        now = time.monotonic()
        deadline = Deadline.parse(request.headers.get(DEADLINE_HEADER), route.deadline_ms, now)
        keys = request.headers.getall(IDEMPOTENCY_KEY_HEADER, [])
        if keys:
            validate_idempotency_key(*keys)
        idempotent = service.is_idempotent(request.method)
        claimed = bool(keys) and service.claims and not idempotent
        body: bytes | None = b""
        if request.can_read_body:
            try:
                async with asyncio.timeout(deadline.remaining_s(now)):
                    body = await self._read_body(request, claimed)
            except TimeoutError as error:
                raise NotRun(
                    ErrorKind.DEADLINE_EXPIRED, "the deadline expired before the body arrived"
                ) from error
        return Call(
            request=request,
            path=path,
            body=body,
            deadline=deadline,
            generation=self._process.view.timeline.generation,
            idempotent=idempotent,
            buffer_response=claimed,
        )

    async def _read_body(self, request: web.Request, must_buffer: bool) -> bytes | None:
        limits = self._settings.limits
        length = request.content_length
        if must_buffer:
            if length is None or length > limits.keyed_body_bytes:
                raise NotRun(
                    ErrorKind.BODY_TOO_LARGE,
                    f"a request with {IDEMPOTENCY_KEY_HEADER} needs a Content-Length of at most "
                    f"{limits.keyed_body_bytes} bytes",
                )
            return await request.content.read()
        if length is not None and length <= limits.buffered_body_bytes:
            return await request.content.read()
        return None

    def _build_claim(self, call: Call, service: Service) -> Claim | None:
        if not call.buffer_response:
            return None
        key = call.request.headers[IDEMPOTENCY_KEY_HEADER]
        return Claim(
            service=service.name,
            digest=digest_request(service.name, call.request.method, call.path, key),
            attempt=uuid.uuid4().hex,
            body_digest=digest_body(call.body or b""),
        )

    async def _send_claimed(self, call: Call, service: Service, claim: Claim) -> web.StreamResponse:
        stored_response = await self._process.claims.open(claim)
        if stored_response is not None:
            return web.Response(
                status=stored_response.status,
                body=stored_response.body,
                headers={
                    "Content-Type": stored_response.content_type,
                    "Briarfork-Replayed": "true",
                },
            )
        try:
            response = await self._send(call, service)
        except NotRun as error:
            if not await self._process.claims.abandon(claim):
                # A retry would find the claim and get an unknown outcome, so this caller does too.
                raise OutcomeUnknown(
                    f"the request did not run ({error}), "
                    "but its idempotency key could not be released"
                ) from error
            raise
        assert isinstance(response, BufferedResponse)
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        # Stored before the caller gets it, so that a retry after a lost response finds it.
        await self._process.claims.finish(
            claim, StoredResponse(response.status, content_type, response.body)
        )
        return web.Response(status=response.status, headers=response.headers, body=response.body)

    async def _send(self, call: Call, service: Service) -> web.StreamResponse | BufferedResponse:
        """Makes attempts until one succeeds or no retry is allowed."""
        self._retry_budget.earn()
        delivery = Delivery(call, self._process.leaving)
        avoid: frozenset[str] = frozenset()
        try:
            for number in itertools.count(1):
                permit = await self._process.router.acquire(call, service, avoid)
                try:
                    return await self._process.hedger.send(delivery, service, permit)
                except AttemptFailed as failure:
                    self._check_retry(failure, delivery, service, number)
                avoid |= {permit.server.name}
                self._process.metrics.count(Metric.RETRIES, service.name)
            raise AssertionError("unreachable")
        finally:
            if delivery.abort_if_incomplete():
                self._process.events.record(Event.ANSWER_CUT, service=service.name, path=call.path)

    def _check_retry(
        self, failure: AttemptFailed, delivery: Delivery, service: Service, number: int
    ) -> None:
        """Returns if a retry is allowed, else raises the error for the caller."""
        call = delivery.call
        result = AttemptResult.ANSWER_STARTED if delivery.started else failure.result
        attempt = FailedAttempt(result, call.idempotent, call.is_replayable, delivery.may_resume)
        expired = call.deadline.has_expired(time.monotonic())
        allowed = number < MAX_ATTEMPTS and not expired and attempt.may_retry()
        if allowed and self._retry_budget.spend():
            return
        if attempt.may_have_run:
            self._process.events.record(Event.OUTCOME_UNKNOWN, service=service.name, reason=failure)
            raise OutcomeUnknown(f"the request was sent but got no complete response: {failure}")
        kind = ErrorKind.DEADLINE_EXPIRED if expired else ErrorKind.OVERLOADED
        raise NotRun(kind, str(failure)) from failure


def read_path(request: web.Request) -> str:
    """Returns path and query for the backend server in the encoding of the caller.

    Raises:
        NotRun: If the path has dot segments, which servers resolve in different ways.
    """
    raw = request.rel_url.raw_path.split("/", 3)
    path = "/" + (raw[3] if len(raw) > 3 else "")
    if any(unquote(part) in (".", "..") for part in path.split("/")):
        raise NotRun(ErrorKind.BAD_REQUEST, "path: expected no segments '.' or '..'")
    query = request.rel_url.raw_query_string
    return f"{path}?{query}" if query else path
