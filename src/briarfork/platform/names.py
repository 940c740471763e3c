"""Names of headers, keys and calls on the platform's wire."""

from __future__ import annotations

from typing import Final

ATTEMPT_ID: Final = "X-Briarfork-Attempt-Id"
DEADLINE_MS: Final = "X-Briarfork-Deadline-Ms"
OBJECT_KEY: Final = "X-Briarfork-Affinity-Key"
# Present on every answer that a backend server computed.
SEAL: Final = "X-Briarfork-Response-Seal"
EXPECTED_INSTANCE: Final = "X-Briarfork-Pin-Instance"
# Running, waiting, slots, and the slowness of the machine in percent.
LOAD: Final = "X-Briarfork-Server-Load"
NOT_RUN: Final = "X-Briarfork-Not-Executed"

READY_PATH: Final = "/v1/readyz"
METRICS_PATH: Final = "/metrics"
LOOKUP_PATH: Final = "/v1/resolve"

CONFIGURATION_KEY: Final = "op/config"
EVACUATION_PREFIX: Final = "op/evacuate/"
SERVER_PREFIX: Final = "servers/"
MEMBER_PREFIX: Final = "briarfork/members/"
