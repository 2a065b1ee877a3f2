"""Names in the platform's protocols: headers, paths and store keys."""

from __future__ import annotations

__all__ = [
    "CONFIGURATION_KEY",
    "CREDENTIALS_HEADER",
    "DEADLINE_HEADER",
    "EXPECTED_UPSTREAM_HEADER",
    "ITEM_PARAMETER",
    "ITEM_PATH_PREFIX",
    "JOB_PATH_PREFIX",
    "KEY_HEADER",
    "LAST_EVENT_HEADER",
    "LEAVING_HEADER",
    "LIMIT_HEADER",
    "LOAD_HEADER",
    "NOT_RUN_HEADER",
    "OPERATOR_PREFIX",
    "POSITION_PARAMETER",
    "PROMPT_HEADER",
    "READY_PATH",
    "REPORT_PATH",
    "REQUEST_ID_HEADER",
    "RESUMES_HEADER",
    "RETIRE_PREFIX",
    "RETIRE_STATUS_PREFIX",
    "SIGNATURE_HEADER",
    "TEAM_HEADER",
    "TOKEN_USAGE_HEADER",
    "UPSTREAM_ID_HEADER",
    "UPSTREAM_PREFIX",
    "WAIT_HEADER",
]

# Header names are in lower case, as in ASGI.
REQUEST_ID_HEADER = b"x-request-id"
# Timeout of the sender in milliseconds, counted from when it sent the request.
DEADLINE_HEADER = b"x-deadline-ms"
LAST_EVENT_HEADER = b"last-event-id"
# Key of the caller, which must not reach an upstream.
KEY_HEADER = b"api-key"
# Name of the team whose key the caller sent, for the upstream.
TEAM_HEADER = b"x-tenant"
# Credentials of the caller that upstreams see.
CREDENTIALS_HEADER = b"authorization"
# Request id of the caller's attempt that brought the first event of the stream
# that it resumes.
RESUMES_HEADER = b"resumes"
# Present in all responses of an upstream that is leaving.
LEAVING_HEADER = b"server-leaving"
# Requests per second that an upstream accepts from all senders together.
LIMIT_HEADER = b"server-limit"
EXPECTED_UPSTREAM_HEADER = b"x-expect-instance"
SIGNATURE_HEADER = b"x-response-signature"
# Numbers of running requests, waiting requests and slots, separated by commas.
LOAD_HEADER = b"x-server-load"
# Present in a response if the upstream did not run the request.
NOT_RUN_HEADER = b"x-not-executed"
# Number of prompt tokens and maximum number of output tokens, separated by a
# comma.
TOKEN_USAGE_HEADER = "x-token-usage"
# Parts of the prompt in order, as ID:TOKENS entries separated by commas.
PROMPT_HEADER = b"x-prompt-prefix"
UPSTREAM_ID_HEADER = b"x-instance-id"
# Longest time that a read of a job may wait for a result, in milliseconds.
WAIT_HEADER = b"x-wait-ms"

READY_PATH = "/v1/ready"
REPORT_PATH = "/v1/report"
JOB_PATH_PREFIX = "/v1/lots/"
ITEM_PATH_PREFIX = "/v1/items/"
# Query parameter with the first requested position. The store API uses the same
# name for a revision and for a key.
POSITION_PARAMETER = "after"
ITEM_PARAMETER = "id"

# Keys in the store. Operators write those below OPERATOR_PREFIX.
OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
UPSTREAM_PREFIX = "servers/"
RETIRE_PREFIX = "op/retire/"
RETIRE_STATUS_PREFIX = "status/retire/"
