"""What may be said about a request, over all orders of events on its way."""

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
    def test_is_written_at_most_once_and_never_late(
        self, times: list[float], expires_at: float
    ) -> None:
        """Guards against a library, or a VM that was paused, that sends a request again or late."""
        attempt = Attempt(Deadline(expires_at))
        written = []
        for now in sorted(times):
            try:
                attempt.mark_sent(now)
                written.append(now)
            except SendForbidden:
                continue
        assert len(written) <= 1
        assert all(now < expires_at for now in written)
        expected = AttemptResult.SENT_WITHOUT_ANSWER if written else AttemptResult.NOT_SENT
        assert attempt.result is expected

    @given(st.lists(st.sampled_from(["send", "refuse", "start"]), max_size=6))
    def test_result_claims_not_run_only_for_unsent_and_refused(self, events: list[str]) -> None:
        """Guards against "not-run" for a request that was written and not refused."""
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
    def test_what_may_have_run_is_repeated_only_if_idempotent(
        self, result: AttemptResult, idempotent: bool, replayable: bool, resumable: bool
    ) -> None:
        """Guards against a retry rule that runs a score twice."""
        attempt = FailedAttempt(result, idempotent, replayable, resumable)
        if attempt.may_retry():
            assert replayable
            assert idempotent or not attempt.may_have_run
        if result is AttemptResult.ANSWER_STARTED and attempt.may_retry():
            assert resumable

    def test_every_result_has_a_rule(self) -> None:
        """Guards against a result that ends as an internal fault."""
        for result in AttemptResult:
            FailedAttempt(result, idempotent=True, replayable=True).may_retry()


class TestDeadline:
    @pytest.mark.parametrize("value", ["", "x", "1.5", "--1", "9" * 13, "\uff11"])
    def test_bad_value_is_refused(self, value: str) -> None:
        """Guards against a header value that ends as an internal fault."""
        with pytest.raises(Exception, match="bad_request"):
            Deadline.parse(value, 1000, 0.0)
