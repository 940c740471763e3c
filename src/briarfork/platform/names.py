"""Names of headers, paths and store keys in the platform's protocols."""

from __future__ import annotations

from typing import Final

ATTEMPT_ID: Final = "X-Briarfork-Attempt-Id"
DEADLINE_MS: Final = "X-Briarfork-Deadline-Ms"
AFFINITY_KEY: Final = "X-Briarfork-Affinity-Key"
# Present on every response that a backend server computed itself.
RESPONSE_SEAL: Final = "X-Briarfork-Response-Seal"
# A caller's key. It never leaves the VM.
CREDENTIAL: Final = "X-Briarfork-Credential"
# Name of the workspace that holds the key, set by the gateway.
WORKSPACE: Final = "X-Briarfork-Tenant"
PINNED_INSTANCE: Final = "X-Briarfork-Pin-Instance"
# Running requests, waiting requests, slots, and optionally the slowdown in percent.
SERVER_LOAD: Final = "X-Briarfork-Server-Load"
# Requests per second that a server accepts from all VMs together, as long as it names them.
SERVER_LIMIT: Final = "Server-Limit"
# "1" on every response of a server that is leaving.
SERVER_LEAVING: Final = "Server-Leaving"
NOT_EXECUTED: Final = "X-Briarfork-Not-Executed"

# Number of the store's present state; it rises when the store is restored from an older copy.
STORE_ERA: Final = "Store-Era"

READY_PATH: Final = "/v1/readyz"
METRICS_PATH: Final = "/metrics"
LOOKUP_PATH: Final = "/v1/resolve"

CONFIGURATION_KEY: Final = "op/config"
# The configuration and the evacuations.
OPERATOR_PREFIX: Final = "op/"
EVACUATION_PREFIX: Final = "op/evacuate/"
SERVER_PREFIX: Final = "servers/"
MEMBER_PREFIX: Final = "briarfork/members/"
# No key has this prefix, so that a page of it only tells the store's revision.
NO_KEYS_PREFIX: Final = "briarfork/none/"
