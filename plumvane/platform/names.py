"""Names on the platform's wire: headers, paths and keys."""

from __future__ import annotations

__all__ = [
    "CONFIGURATION_KEY",
    "DEADLINE_HEADER",
    "EXPECTED_UPSTREAM_HEADER",
    "ITEM_ARGUMENT",
    "ITEM_PATH_PREFIX",
    "JOB_PATH_PREFIX",
    "LAST_EVENT_HEADER",
    "LOAD_HEADER",
    "NOT_RUN_HEADER",
    "OPERATOR_PREFIX",
    "POSITION_ARGUMENT",
    "READY_PATH",
    "REPORT_PATH",
    "REQUEST_ID_HEADER",
    "RETIRE_PREFIX",
    "RETIRE_STATUS_PREFIX",
    "SIGNATURE_HEADER",
    "TOKEN_USAGE_HEADER",
    "UPSTREAM_ID_HEADER",
    "UPSTREAM_PREFIX",
    "WAIT_HEADER",
]

# Headers in lower case, as ASGI has them.
REQUEST_ID_HEADER = b"x-request-id"
# Milliseconds that the sender waits, counted from when it sent the request.
DEADLINE_HEADER = b"x-deadline-ms"
LAST_EVENT_HEADER = b"last-event-id"
EXPECTED_UPSTREAM_HEADER = b"x-expect-instance"
SIGNATURE_HEADER = b"x-response-signature"
# Running requests, waiting requests and slots, separated by commas.
LOAD_HEADER = b"x-server-load"
# Present in an answer if the upstream did not run the request.
NOT_RUN_HEADER = b"x-not-executed"
# Tokens of the prompt and most tokens of the output, separated by a comma.
TOKEN_USAGE_HEADER = "x-token-usage"
UPSTREAM_ID_HEADER = b"x-instance-id"
# Milliseconds for which a read of a job may wait for a result.
WAIT_HEADER = b"x-wait-ms"

READY_PATH = "/v1/ready"
REPORT_PATH = "/v1/report"
JOB_PATH_PREFIX = "/v1/lots/"
ITEM_PATH_PREFIX = "/v1/items/"
# Query argument with the first position that a read wants; the name also stands
# for a revision and for a key in calls of the store.
POSITION_ARGUMENT = "after"
ITEM_ARGUMENT = "id"

# Keys that the operators write.
OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
UPSTREAM_PREFIX = "servers/"
RETIRE_PREFIX = "op/retire/"
RETIRE_STATUS_PREFIX = "status/retire/"
