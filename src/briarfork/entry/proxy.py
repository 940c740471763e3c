"""The request path: from a caller's request to an answer or an error of the closed list."""

from __future__ import annotations

import time
import uuid
from typing import TYPE_CHECKING

from aiohttp import web

from briarfork.border.events import Event
from briarfork.border.metrics import Metric
from briarfork.entry.forward import DEADLINE_HEADER
from briarfork.entry.forward import AttemptFailed
from briarfork.entry.forward import Call
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
        return await self._send_claimed(call, service, claim)

    async def _read_call(self, request: web.Request, service: Service) -> Call:
        path = "/" + request.match_info["path"]
        route = service.find_route(path)
        now = time.monotonic()
        deadline = Deadline.read(request.headers.get(DEADLINE_HEADER), route.deadline_ms, now)
        keyed = KEY_HEADER in request.headers
        if keyed:
            check_key(request.headers[KEY_HEADER])
        query = f"?{request.query_string}" if request.query_string else ""
        return Call(
            request=request,
            path=path + query,
            body=await self._read_body(
                request, keyed and not service.is_idempotent(request.method)
            ),
            deadline=deadline,
            generation=self._process.view.timeline.generation,
            keep_answer=keyed and service.claims and not service.is_idempotent(request.method),
        )

    async def _read_body(self, request: web.Request, whole: bool) -> bytes | None:
        limits = self._settings.limits
        if not request.can_read_body:
            return b""
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
        except NotRun:
            await self._process.claims.abandon(claim)
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
        avoid: frozenset[str] = frozenset()
        for number in range(1, MAX_ATTEMPTS + 1):
            permit = await self._process.router.acquire(call, service, avoid)
            try:
                return await self._process.hedger.send(call, service, permit)
            except AttemptFailed as failure:
                self._decide_after(failure, call, service, number)
                avoid |= {permit.server.vm}
                self._process.metrics.count(Metric.RETRIES, service.name)
        raise NotRun(ErrorKind.OVERLOADED, "every attempt was refused")

    def _decide_after(
        self, failure: AttemptFailed, call: Call, service: Service, number: int
    ) -> None:
        """Returns if another attempt is allowed, else raises what the caller is told."""
        attempt = FailedAttempt(
            failure.result, service.is_idempotent(call.request.method), call.is_replayable
        )
        if failure.result is AttemptResult.ANSWER_STARTED:
            self._process.events.record(Event.ANSWER_CUT, service=service.name, reason=failure)
            raise OutcomeUnknown("the answer was cut short") from failure
        if number < MAX_ATTEMPTS and attempt.may_repeat() and self._retries.spend():
            return
        if attempt.may_have_run:
            self._process.events.record(Event.OUTCOME_UNKNOWN, service=service.name, reason=failure)
            raise OutcomeUnknown(f"the request was sent and brought no answer: {failure}")
        raise NotRun(ErrorKind.OVERLOADED, str(failure)) from failure
