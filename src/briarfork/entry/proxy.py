"""The request path: from a caller's request to an answer or an error of the closed list."""

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
from briarfork.entry.forward import KeptAnswer
from briarfork.errors import ErrorKind
from briarfork.errors import NotRun
from briarfork.errors import OutcomeUnknown
from briarfork.requests import RETRY_RATIO
from briarfork.requests import AttemptResult
from briarfork.requests import Budget
from briarfork.requests import Claim
from briarfork.requests import Deadline
from briarfork.requests import FailedAttempt
from briarfork.requests import StoredAnswer
from briarfork.requests import check_key
from briarfork.requests import digest_body
from briarfork.requests import digest_request

if TYPE_CHECKING:
    from briarfork.configuration import Service
    from briarfork.entry.process import EntryProcess

KEY_HEADER = "Idempotency-Key"
MAX_ATTEMPTS = 3


class Proxy:
    """Serves the requests of callers."""

    def __init__(self, process: EntryProcess) -> None:
        self._process = process
        self._settings = process.settings
        self._retries = Budget(RETRY_RATIO)

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answers one request.

        Raises:
            BriarforkError: An error of the closed list.
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
            answer = await self._send(call, service)
            assert isinstance(answer, web.StreamResponse)
            return answer
        return await self._process.claimed_requests.run_to_completion(
            self._send_claimed(call, service, claim)
        )

    async def _read_call(self, request: web.Request, service: Service) -> Call:
        path = read_path(request)
        route = service.find_route(path)
        now = time.monotonic()
        deadline = Deadline.read(request.headers.get(DEADLINE_HEADER), route.deadline_ms, now)
        keys = request.headers.getall(KEY_HEADER, [])
        if keys:
            check_key(*keys)
        idempotent = service.is_idempotent(request.method)
        claimed = bool(keys) and service.claims and not idempotent
        body: bytes | None = b""
        if request.can_read_body:
            try:
                async with asyncio.timeout(deadline.remaining_s(now)):
                    body = await self._read_body(request, claimed)
            except TimeoutError as error:
                raise NotRun(
                    ErrorKind.DEADLINE_EXPIRED, "the deadline was over before the body arrived"
                ) from error
        return Call(
            request=request,
            path=path,
            body=body,
            deadline=deadline,
            generation=self._process.view.timeline.generation,
            idempotent=idempotent,
            keep_answer=claimed,
        )

    async def _read_body(self, request: web.Request, whole: bool) -> bytes | None:
        limits = self._settings.limits
        length = request.content_length
        if whole:
            if length is None or length > limits.keyed_body_bytes:
                raise NotRun(
                    ErrorKind.BODY_TOO_LARGE,
                    f"a request with {KEY_HEADER} states a Content-Length of at most "
                    f"{limits.keyed_body_bytes} bytes",
                )
            return await request.content.read()
        if length is not None and length <= limits.buffered_body_bytes:
            return await request.content.read()
        return None

    def _build_claim(self, call: Call, service: Service) -> Claim | None:
        if not call.keep_answer:
            return None
        key = call.request.headers[KEY_HEADER]
        return Claim(
            service=service.name,
            digest=digest_request(service.name, call.request.method, call.path, key),
            attempt=uuid.uuid4().hex,
            body_digest=digest_body(call.body or b""),
        )

    async def _send_claimed(self, call: Call, service: Service, claim: Claim) -> web.StreamResponse:
        stored = await self._process.claims.open(claim)
        if stored is not None:
            return web.Response(
                status=stored.status,
                body=stored.body,
                headers={"Content-Type": stored.content_type, "Briarfork-Replayed": "true"},
            )
        try:
            answer = await self._send(call, service)
        except NotRun as error:
            if not await self._process.claims.abandon(claim):
                # A repeat would find the claim and be told "unknown", so this caller is too.
                raise OutcomeUnknown(
                    f"the request did not run ({error}), but its key could not be released"
                ) from error
            raise
        assert isinstance(answer, KeptAnswer)
        content_type = answer.headers.get("Content-Type", "application/octet-stream")
        # Stored before the caller gets it, so that a repeat after a lost answer finds it.
        await self._process.claims.finish(
            claim, StoredAnswer(answer.status, content_type, answer.body)
        )
        return web.Response(status=answer.status, headers=answer.headers, body=answer.body)

    async def _send(self, call: Call, service: Service) -> web.StreamResponse | KeptAnswer:
        """Makes attempts until one succeeds or the rules allow no more."""
        self._retries.earn()
        delivery = Delivery(call, self._process.leaving)
        avoid: frozenset[str] = frozenset()
        try:
            for number in itertools.count(1):
                permit = await self._process.router.acquire(call, service, avoid)
                try:
                    return await self._process.hedger.send(delivery, service, permit)
                except AttemptFailed as failure:
                    self._decide_after(failure, delivery, service, number)
                avoid |= {permit.server.vm}
                self._process.metrics.count(Metric.RETRIES, service.name)
            raise AssertionError("unreachable")
        finally:
            if delivery.cut():
                self._process.events.record(Event.ANSWER_CUT, service=service.name, path=call.path)

    def _decide_after(
        self, failure: AttemptFailed, delivery: Delivery, service: Service, number: int
    ) -> None:
        """Returns if another attempt is allowed, else raises what the caller is told."""
        call = delivery.call
        result = AttemptResult.ANSWER_STARTED if delivery.started else failure.result
        attempt = FailedAttempt(result, call.idempotent, call.is_replayable, delivery.may_resume)
        expired = call.deadline.is_over(time.monotonic())
        allowed = number < MAX_ATTEMPTS and not expired and attempt.may_repeat()
        if allowed and self._retries.spend():
            return
        if attempt.may_have_run:
            self._process.events.record(Event.OUTCOME_UNKNOWN, service=service.name, reason=failure)
            raise OutcomeUnknown(f"the request was sent and brought no answer: {failure}")
        kind = ErrorKind.DEADLINE_EXPIRED if expired else ErrorKind.OVERLOADED
        raise NotRun(kind, str(failure)) from failure


def read_path(request: web.Request) -> str:
    """Returns path and query for the backend server, exactly as the caller encoded them.

    Raises:
        NotRun: If the path has dot segments, which servers resolve in different ways.
    """
    raw = request.rel_url.raw_path.split("/", 3)
    path = "/" + (raw[3] if len(raw) > 3 else "")
    if any(unquote(part) in (".", "..") for part in path.split("/")):
        raise NotRun(ErrorKind.BAD_REQUEST, "path: expected no segments '.' or '..'")
    query = request.rel_url.raw_query_string
    return f"{path}?{query}" if query else path
