"""Keys of callers and their teams at one gateway, without a network.

The pattern is operators who add and take away keys while gateways read changes
with a pause, are cut off from the store, or do not know that they are behind.
"""

from __future__ import annotations

import contextlib
import json
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import anyio
import eliot

from plumvane import clock
from plumvane.batch.jobstore import JobStore
from plumvane.discovery import confirmation
from plumvane.discovery.view import FleetView
from plumvane.errors import (
    NotFoundError,
    PlumvaneError,
    StoreUnavailableError,
    UnauthorizedError,
)
from plumvane.gateway import access as access_module
from plumvane.gateway.access import Access
from plumvane.platform.configuration import decode_configuration
from plumvane.platform.requests import (
    CallerRequest,
    decode_request,
    item_headers,
    without_keys,
)
from plumvane.relay.client import Attempt
from plumvane.serving.jobs import Job
from plumvane.serving.routes import RouteKind
from plumvane.serving.upstreams import Upstream
from plumvane.store.base import Record
from plumvane.store.memory import MemoryStore
from tests.gateways import make_route
from tests.test_gateway_app import JOB, App
from tests.test_job_reads import ITEMS, WorkerParts, make_reader

OUTER_DEADLINE_S = 15.0
KEY = "secret-of-red"
OTHER_KEY = "secret-of-blue"
NEW_KEY = "secret-of-tomorrow"
RED = {"name": "red", "api-keys": [KEY]}
BLUE = {"name": "blue", "api-keys": [OTHER_KEY], "priority": 0}
ROUTE = {
    "host": "h",
    "kind": "streaming",
    "timeout-ms": 5000,
    "max-attempts": 2,
    "service": "engines",
}
PRIVATE = make_route(RouteKind.STREAM)
PUBLIC = make_route(RouteKind.STREAM, is_public=True)


def configuration(version: int, *tenants: dict[str, Any]) -> bytes:
    routes = [
        {**ROUTE, "name": "private", "path-prefix": "/p/"},
        {**ROUTE, "name": "open", "path-prefix": "/o/", "public": True},
        {
            **ROUTE,
            "name": "jobs",
            "path-prefix": "/b/",
            "kind": "batch",
            "retention-s": 60,
        },
        {
            **ROUTE,
            "name": "open jobs",
            "path-prefix": "/ob/",
            "kind": "batch",
            "retention-s": 60,
            "public": True,
        },
    ]
    value = {"version": version, "routes": routes, "tenants": list(tenants)}
    return json.dumps(value).encode()


class OperatorStore(MemoryStore):
    """Store that counts reads of a key, and may not respond."""

    def __init__(self) -> None:
        super().__init__()
        self.gets = 0
        self.is_silent = False

    async def get(self, key: str) -> Record | None:
        self.gets += 1
        if self.is_silent:
            raise StoreUnavailableError("no response")
        return await super().get(key)

    async def configure(self, version: int, *tenants: dict[str, Any]) -> None:
        await self.put(
            "op/config",
            configuration(version, *tenants),
            expected_revision=None,
        )


class Checker:
    """The access check of a gateway that has read version 1."""

    def __init__(self, max_age_s: float = float("inf")) -> None:
        self.store = OperatorStore()
        self.view = FleetView(self.store, "a", random.Random(1))
        self.view.routes = decode_configuration(configuration(1, RED, BLUE))
        self.view.operator_keys.is_failing = False
        self.view.operator_keys.current_at = clock.monotonic()
        self.access = Access(self.view, max_age_s)

    async def team(self, key: str, route: Any = PRIVATE) -> str | None:
        found = await self.access.identify(make_request(key), route)
        return found.name if found is not None else None


def make_request(key: str, **headers: str) -> CallerRequest:
    rows = [(b"host", b"h"), (b"x-request-id", b"r1")]
    if key:
        rows.append((b"api-key", key.encode()))
    rows += [
        (n.replace("_", "-").encode(), v.encode()) for n, v in headers.items()
    ]
    return decode_request("POST", b"/p/x", b"", rows)


def run_steps(steps: Callable[[], Awaitable[None]]) -> None:
    async def run() -> None:
        with anyio.fail_after(OUTER_DEADLINE_S):
            await steps()

    anyio.run(run)


async def raised(
    kind: type[PlumvaneError], call: Awaitable[Any]
) -> PlumvaneError:
    """Returns the error of a kind that a call raises."""
    try:
        result = await call
    except kind as error:
        return error
    raise AssertionError(f"returned {result!r}")


def test_teams_are_decoded_and_fields_may_be_missing_or_null() -> None:
    table = decode_configuration(
        configuration(
            1,
            {"name": "bare"},
            {
                "name": "null",
                "api-keys": None,
                "priority": None,
                "rate-per-s": None,
                "burst": None,
            },
            {
                "name": "full",
                "api-keys": ["k1", "k2"],
                "priority": 2,
                "rate-per-s": 1.5,
                "burst": 7,
            },
        )
    ).teams
    assert table is not None
    full = table.find(b"k2")
    assert full is not None and full is table.find(b"k1")
    assert (full.priority, full.max_rate, full.burst) == (2, 1.5, 7)
    for name in ("bare", "null"):
        team = table.teams_by_name[name]
        assert (team.priority, team.has_quota) == (None, False)
    assert table.find(b"") is None
    assert decode_configuration(configuration(1)).teams is None
    assert "k1" not in repr(vars(table))


def test_routes_say_who_is_public_and_what_pause_is_on_time() -> None:
    routes = [
        {**ROUTE, "name": "a", "path-prefix": "/a/"},
        {
            **ROUTE,
            "name": "b",
            "path-prefix": "/b/",
            "public": None,
            "gap-aim-ms": None,
        },
        {
            **ROUTE,
            "name": "c",
            "path-prefix": "/c/",
            "public": True,
            "gap-aim-ms": 300,
        },
    ]
    value = {"version": 1, "routes": routes, "tenants": None}
    table = decode_configuration(json.dumps(value).encode())
    found = [table.match("h", f"/{name}/x") for name in "abc"]
    assert [(r.is_public, r.max_pause_s) for r in found if r] == [
        (False, 0.0),
        (False, 0.0),
        (True, 0.3),
    ]


def test_known_key_names_its_team_and_public_routes_need_none() -> None:
    async def steps() -> None:
        checker = Checker()
        assert await checker.team(KEY) == "red"
        assert await checker.team(OTHER_KEY, None) == "blue"
        assert await checker.team("", PUBLIC) is None
        assert await checker.team("wrong", PUBLIC) is None
        assert await checker.team(KEY, PUBLIC) == "red"
        assert checker.store.gets == 0
        checker.view.routes = decode_configuration(configuration(2))
        assert await checker.team("") is None

    run_steps(steps)


def test_key_is_valid_as_soon_as_the_store_has_it() -> None:
    async def steps() -> None:
        checker = Checker()
        green = {"name": "green", "api-keys": [NEW_KEY]}
        await checker.store.configure(2, RED, BLUE, green)
        assert await checker.team(NEW_KEY) == "green"

    run_steps(steps)


def test_unknown_key_is_refused_once_the_store_was_asked() -> None:
    async def steps() -> None:
        checker = Checker()
        await checker.store.configure(1, RED, BLUE)
        for key in ("wrong", ""):
            error = await raised(UnauthorizedError, checker.team(key))
            assert (error.status, error.not_run) == (401, False)
        assert checker.store.gets == 2

    run_steps(steps)


def test_requests_with_unknown_keys_share_looks_at_the_store() -> None:
    async def steps() -> None:
        checker = Checker()
        await checker.store.configure(1, RED, BLUE)
        began_at = clock.monotonic()
        async with anyio.create_task_group() as group:
            for number in range(100):
                group.start_soon(
                    raised, UnauthorizedError, checker.team(f"wrong {number}")
                )
                await anyio.sleep(0.001)
        took_s = clock.monotonic() - began_at
        assert checker.store.gets <= 2 + took_s / confirmation.READ_INTERVAL_S

    run_steps(steps)


def test_gateway_that_does_not_follow_the_store_does_not_deny() -> None:
    async def steps() -> None:
        checker = Checker()
        await checker.store.configure(1, RED, BLUE)
        checker.view.operator_keys.is_failing = True
        error = await raised(StoreUnavailableError, checker.team("wrong"))
        assert error.not_run and error.retry_after_s is not None
        assert await checker.team(KEY) == "red"

    run_steps(steps)


def test_gateway_that_does_not_know_that_it_is_cut_off_does_not_deny() -> None:
    """A watch that waits does not notice that its connection is dead."""

    async def steps() -> None:
        checker = Checker()
        checker.store.is_silent = True
        began_at = clock.monotonic()
        async with anyio.create_task_group() as group:
            for _ in range(20):
                group.start_soon(
                    raised, StoreUnavailableError, checker.team("wrong")
                )
        # A look that fails counts for all that waited for it.
        assert checker.store.gets == 1
        assert clock.monotonic() - began_at < confirmation.READ_TIMEOUT_S

    run_steps(steps)


def test_caller_that_leaves_during_a_look_does_not_hold_up_others() -> None:
    async def steps() -> None:
        checker = Checker()
        await checker.store.configure(1, RED, BLUE)
        is_first = True
        read = checker.view.read_configuration

        async def hang_first() -> None:
            nonlocal is_first
            if is_first:
                is_first = False
                await anyio.sleep_forever()
            await read()

        checker.view.read_configuration = hang_first  # type: ignore[method-assign]
        async with anyio.create_task_group() as group:
            leaving = anyio.CancelScope()

            async def leave() -> None:
                with leaving:
                    await checker.team("wrong")

            group.start_soon(leave)
            await anyio.sleep(0.05)
            group.start_soon(
                raised, UnauthorizedError, checker.team("also wrong")
            )
            await anyio.sleep(0.05)
            leaving.cancel()

    run_steps(steps)


def test_strict_revocation_refuses_keys_of_an_old_configuration() -> None:
    async def steps() -> None:
        checker = Checker(max_age_s=5.0)
        assert await checker.team(KEY) == "red"
        checker.view.operator_keys.current_at = clock.monotonic() - 6.0
        checker.store.is_silent = True
        await raised(StoreUnavailableError, checker.team(KEY))
        assert await checker.team("", PUBLIC) is None
        checker.store.is_silent = False
        await checker.store.configure(2, BLUE)
        await anyio.sleep(confirmation.READ_INTERVAL_S)
        await raised(UnauthorizedError, checker.team(KEY))
        assert await checker.team(OTHER_KEY) == "blue"

    run_steps(steps)


def test_configuration_never_goes_back() -> None:
    async def steps() -> None:
        checker = Checker()
        await checker.store.configure(3, BLUE)
        await checker.view.read_configuration()
        late = Record("op/config", configuration(2, RED, BLUE), 1, False)
        checker.view._apply_operator_key(late)
        assert checker.view.routes is not None
        assert checker.view.routes.version == 3
        await checker.store.configure(2, RED, BLUE)
        await raised(UnauthorizedError, checker.team(KEY))

    run_steps(steps)


def test_key_is_in_no_line_of_the_log() -> None:
    async def steps() -> None:
        checker = Checker()
        await checker.store.configure(1, RED, BLUE)
        lines: list[Any] = []
        eliot.add_destinations(lines.append)
        # Earlier messages come first.
        lines.clear()
        try:
            await raised(UnauthorizedError, checker.team("wrong-key"))
            checker.view.operator_keys.is_failing = True
            await raised(StoreUnavailableError, checker.team("wrong-key"))
        finally:
            eliot.remove_destination(lines.append)
        refused = [row for row in lines if row.get("event") == 4120]
        assert [row["reason"] for row in refused] == ["unknown", "unconfirmed"]
        assert all(row["version"] == 1 for row in refused)
        assert len(refused[0]["key"]) == 2 * access_module.LOGGED_BYTES
        assert refused[0]["key"] == refused[1]["key"]
        assert "wrong-key" not in repr(lines)
        assert "wrong-key" not in repr(make_request("wrong-key"))
        assert "wrong-key" not in make_request("wrong-key").fingerprint(b"")

    run_steps(steps)


def test_key_and_forged_team_are_dropped_and_the_team_is_set() -> None:
    request = make_request(KEY, x_tenant="blue", x_model="m")
    sent = dict(request.of_team("red").headers)
    assert sent[b"x-tenant"] == b"red"
    assert sent[b"x-model"] == b"m"
    assert b"api-key" not in sent
    assert b"x-tenant" not in dict(request.of_team(None).headers)
    assert request.of_team("red").key == b""
    repeat = make_request(KEY, x_model="m").of_team("red")
    assert request.fingerprint(b"x") == repeat.fingerprint(b"x")
    # An upstream that crashes on it does so whoever sends it.
    other = make_request("other-key", x_model="m").of_team("blue")
    assert request.fingerprint(b"x") == other.fingerprint(b"x")
    assert request.fingerprint(b"x") != make_request(
        KEY, authorization="other"
    ).fingerprint(b"x")
    item = {"API-Key": KEY, "X-Tenant": "blue", "X-Model": "m"}
    assert without_keys(item) == {"X-Model": "m"}
    assert dict(item_headers("h", "i", item, "red"))[b"x-tenant"] == b"red"
    assert (
        not {b"x-tenant", b"api-key"}
        & dict(item_headers("h", "i", item, "")).keys()
    )
    unchanged = dict(item_headers("h", "i", item))
    assert unchanged[b"api-key"] == KEY.encode()


class TeamApp(App):
    """A gateway application whose configuration has teams."""

    def __init__(self, store: OperatorStore | None = None) -> None:
        super().__init__(store or OperatorStore())
        self.configure()
        self.view.routes = decode_configuration(configuration(1, RED, BLUE))
        self.attempts: list[Attempt] = []
        self.client.send = self._record  # type: ignore[method-assign]

    @contextlib.asynccontextmanager
    async def _record(
        self, upstream: Upstream, attempt: Attempt
    ) -> AsyncIterator[Any]:
        self.attempts.append(attempt)
        raise PlumvaneError("recorded")
        yield

    async def status(self, method: str, path: str, key: str = "") -> int:
        body = json.dumps(JOB).encode() if method == "POST" else b""
        headers = {"api_key": key} if key else {}
        return (
            await self.call(method, path, body, x_tenant="forged", **headers)
        )[0]


def test_upstreams_get_the_name_of_the_team_and_no_key() -> None:
    async def steps() -> None:
        app = TeamApp()
        for path, key, team in (
            ("/p/x", KEY, b"red"),
            ("/o/x", OTHER_KEY, b"blue"),
            ("/o/x", "", None),
            ("/o/x", "wrong", None),
        ):
            assert await app.status("POST", path, key) == 500
            sent = dict(app.attempts[-1].headers)
            assert sent.get(b"x-tenant") == team
            assert b"api-key" not in sent
        assert await app.status("POST", "/p/x", "wrong") == 401
        assert len(app.attempts) == 4

    run_steps(steps)


def test_configuration_without_teams_changes_no_header() -> None:
    async def steps() -> None:
        app = TeamApp()
        app.view.routes = decode_configuration(configuration(1))
        assert await app.status("POST", "/p/x", KEY) == 500
        sent = dict(app.attempts[-1].headers)
        assert sent[b"api-key"] == KEY.encode()
        assert sent[b"x-tenant"] == b"forged"

    run_steps(steps)


def test_job_belongs_to_its_team_and_outlives_its_key() -> None:
    async def steps() -> None:
        app = TeamApp()
        assert await app.status("POST", "/b/x", KEY) == 202
        assert await app.status("POST", "/b/x", KEY) == 202
        assert await app.status("POST", "/b/x", OTHER_KEY) == 409
        assert await app.status("POST", "/ob/x") == 409
        calls = (
            ("GET", "/v1/lots/r1?after=0"),
            ("GET", "/v1/items/r1?id=i1"),
            ("DELETE", "/v1/lots/r1"),
        )
        for method, path in calls:
            assert await app.status(method, path, OTHER_KEY) == 404, path
            assert await app.status(method, path, "wrong") == 401, path
            assert await app.status(method, path) == 401, path
        rotated = {"name": "red", "api-keys": [NEW_KEY]}
        app.view.routes = decode_configuration(configuration(2, rotated, BLUE))
        for method, path in calls:
            assert await app.status(method, path, KEY) == 401, path
            assert await app.status(method, path, NEW_KEY) == 200, path

    run_steps(steps)


def test_job_without_a_team_may_be_repeated() -> None:
    async def steps() -> None:
        app = TeamApp()
        assert await app.status("POST", "/ob/x") == 202
        assert await app.status("POST", "/ob/x") == 202

    run_steps(steps)


def test_repeated_job_whose_team_is_not_known_may_run() -> None:
    """It must not get a 503, which promises that no part of it runs."""

    async def steps() -> None:
        app = TeamApp()
        assert await app.status("POST", "/b/x", KEY) == 202
        assert isinstance(app.store, OperatorStore)
        app.store.is_silent = True
        assert await app.status("POST", "/b/x", KEY) == 502

    run_steps(steps)


def test_keys_in_items_do_not_reach_the_store() -> None:
    async def steps(path: str, **headers: str) -> None:
        app = TeamApp()
        item = {**JOB["items"][0], "headers": {"Api-Key": KEY, "X-Model": "m"}}
        body = json.dumps({"items": [item]}).encode()
        status, _, _ = await app.call("POST", path, body, **headers)
        assert status == 202
        stored = await app.store.list("plumvane/")
        assert any(b"X-Model" in r.value for r in stored.records)
        assert all(KEY.encode() not in r.value for r in stored.records), path

    run_steps(lambda: steps("/b/x", api_key=KEY))
    run_steps(lambda: steps("/ob/x"))


def test_job_of_another_team_is_not_found_wherever_it_is_read_from() -> None:
    async def steps() -> None:
        store = MemoryStore()
        route = make_route(RouteKind.BATCH, retention_s=60.0)
        await JobStore(store).accept("j", "h", ITEMS, route, "red")
        worker = WorkerParts("w1", store)
        owned = await worker.own("j")
        await worker.list_item(owned, "i0")
        past = clock.monotonic()
        for reader in (make_reader(store, worker), make_reader(store)):
            # The first read is from the worker or the store, the next from
            # the cache.
            for _ in range(2):
                await raised(
                    NotFoundError, reader.results("j", 0, past, "blue")
                )
                found = await reader.results("j", 0, past, "red")
                assert found.results_by_position[0].item_id == "i0"
            await raised(NotFoundError, reader.body("j", "i1", "blue"))
            assert await reader.body("j", "i1", "red") == b"body1"
        await raised(NotFoundError, JobStore(store).end("j", "blue"))
        assert not (await JobStore(store).head("j"))[0].is_ended

    run_steps(steps)


def test_job_of_an_earlier_release_has_no_team_and_is_open() -> None:
    async def steps() -> None:
        app = TeamApp()
        jobs = JobStore(app.store)
        route = make_route(RouteKind.BATCH, retention_s=60.0)
        await jobs.accept("r1", "h", ITEMS, route)
        head, _ = await jobs.head("r1")
        old = head.encode().replace(b"\xa4team\xa0", b"\xa4none\xa0")
        assert Job.decode(old).team == ""
        assert await app.status("GET", "/v1/lots/r1?after=0", KEY) == 200

    run_steps(steps)
