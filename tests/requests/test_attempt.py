"""Results of attempts for all orders of events, retry rules and deadlines."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from briarfork.requests import Attempt
from briarfork.requests import AttemptResult
from briarfork.requests import Deadline
from briarfork.requests import FailedAttempt
from briarfork.requests import SendForbidden

TIMES = st.lists(st.floats(0.0, 20.0), max_size=8)


class TestAttempt:
    @given(TIMES, st.floats(0.0, 20.0))
    def test_is_sent_at_most_once_and_never_late(
        self, times: list[float], expires_at: float
    ) -> None:
        """Guards against a library that resends a request, and a paused VM that sends it late."""
        attempt = Attempt(Deadline(expires_at))
        sent_at = []
        for now in sorted(times):
            try:
                attempt.mark_sent(now)
                sent_at.append(now)
            except SendForbidden:
                continue
        assert len(sent_at) <= 1
        assert all(now < expires_at for now in sent_at)
        expected = AttemptResult.SENT_WITHOUT_ANSWER if sent_at else AttemptResult.NOT_SENT
        assert attempt.result is expected

    @given(st.lists(st.sampled_from(["send", "refuse", "start"]), max_size=6))
    def test_only_unsent_and_refused_requests_count_as_not_run(self, events: list[str]) -> None:
        """Guards against the outcome "not-run" for a request that was sent and not refused."""
        attempt = Attempt(Deadline(10.0))
        for event in events:
            try:
                if event == "send":
                    attempt.mark_sent(0.0)
                elif "send" in events[: events.index(event)]:
                    attempt.mark_refused() if event == "refuse" else attempt.mark_response_started()
            except SendForbidden:
                continue
        failed = FailedAttempt(attempt.result, idempotent=False, replayable=True)
        if not failed.may_have_run:
            assert attempt.result in (AttemptResult.NOT_SENT, AttemptResult.REFUSED)


class TestRetryRules:
    @given(st.sampled_from(AttemptResult), st.booleans(), st.booleans(), st.booleans())
    def test_request_that_may_have_run_is_retried_only_if_idempotent(
        self, result: AttemptResult, idempotent: bool, replayable: bool, resumable: bool
    ) -> None:
        """Guards against a retry rule that runs a non-idempotent request twice."""
        attempt = FailedAttempt(result, idempotent, replayable, resumable)
        if attempt.may_retry():
            assert replayable
            assert idempotent or not attempt.may_have_run
        if result is AttemptResult.ANSWER_STARTED and attempt.may_retry():
            assert resumable

    def test_every_result_has_a_retry_rule(self) -> None:
        """Guards against a result without a rule, which would cause an internal error."""
        for result in AttemptResult:
            FailedAttempt(result, idempotent=True, replayable=True).may_retry()


class TestDeadline:
    @pytest.mark.parametrize("value", ["", "x", "1.5", "--1", "9" * 13, "\uff11"])
    def test_invalid_value_is_rejected(self, value: str) -> None:
        """Guards against a header value that causes an internal error."""
        with pytest.raises(Exception, match="bad_request"):
            Deadline.parse(value, 1000, 0.0)
