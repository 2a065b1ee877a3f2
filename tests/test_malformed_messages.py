"""Tests that malformed data fails one message, never a process.

Each decoder of data that others have written gets bytes of any content, and
variants of a valid value: cut off, with a byte changed, or nested deeply.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from typing import Any

import anyio
import hypothesis
import msgspec
import zmq
from hypothesis import strategies as st

from plumvane.batch.jobstore import JobStore
from plumvane.discovery.relayed import PeerEntry
from plumvane.discovery.view import FleetView
from plumvane.errors import PlumvaneError, ProtocolError
from plumvane.peers import messages, wire
from plumvane.peers.link import LinkPool
from plumvane.peers.messages.stores import ReadStore, StoreRecords
from plumvane.peers.server import Call, PeerServer
from plumvane.platform import names
from plumvane.platform.configuration import decode_configuration
from plumvane.platform.jobs import decode_submission
from plumvane.platform.listing import (
    decode_load,
    decode_report,
    decode_upstream,
)
from plumvane.platform.requests import decode_request, decode_response
from plumvane.serving.jobs import (
    Item,
    ItemProgress,
    ItemResult,
    Job,
    decode_items,
    decode_progress,
    decode_result,
    encode_items,
    encode_progress,
    encode_result,
)
from plumvane.store.base import Write
from plumvane.store.memory import MemoryStore
from standins.launcher import free_port
from tests.gateways import SERVICE
from tests.workers import (
    FULL_TEXT,
    JOB_ROUTE,
    FakeEngine,
    items,
    make_worker,
    run_with_timeout,
    wait_until_listed,
)

HOST = "127.0.0.1"
DEPTH = 100_000
DEEP_JSON = b'{"deep":' + b"[" * DEPTH + b"]" * DEPTH + b"}"
DEEP_MSGPACK = b"\x81\xa4deep" + b"\x91" * DEPTH + b"\xc0"
REGISTRATION = {
    "service": SERVICE,
    "address": "127.0.0.1:8000",
    "zone": "a",
    "slots": 7,
    "state": "ready",
    "sequence": 1,
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "h",
            "path-prefix": "/p/",
            "kind": "streaming",
            "timeout-ms": 5000,
            "max-attempts": 2,
            "service": SERVICE,
        }
    ],
    "services": [{"name": SERVICE, "engine": {"slots": 7}}],
}
SUBMISSION = {"items": [{"id": "a", "path": "/p/x", "headers": {"X-M": "m"}}]}
JOB = Job("j", "h", ["a"], [0], 1, 2, 3, 2)

# A valid value, and a decoder that may raise the errors of the third column.
DECODERS_BY_NAME: dict[
    str,
    tuple[bytes, Callable[[bytes], Any], type[Exception]],
] = {
    "registration": (
        json.dumps(REGISTRATION).encode(),
        lambda data: decode_upstream("u", data),
        PlumvaneError,
    ),
    "report": (
        b'{"queue-depth":1,"active-requests":2,"runs":[["x",1,2,3]]}',
        decode_report,
        PlumvaneError,
    ),
    "configuration": (
        json.dumps(CONFIGURATION).encode(),
        decode_configuration,
        PlumvaneError,
    ),
    "submission": (
        json.dumps(SUBMISSION).encode(),
        lambda data: decode_submission("j", "h", data),
        PlumvaneError,
    ),
    "job": (JOB.encode(), Job.decode, PlumvaneError),
    "items": (
        encode_items([Item("a", "/p", {"X-M": "m"}, b"b")]),
        decode_items,
        PlumvaneError,
    ),
    "result": (
        encode_result(ItemResult("a", True, "t")),
        decode_result,
        PlumvaneError,
    ),
    "progress": (
        encode_progress([ItemProgress("a", 3, ["x"])]),
        decode_progress,
        PlumvaneError,
    ),
    "peer message": (
        messages.encode(ReadStore("key")),
        messages.decode,
        msgspec.DecodeError,
    ),
    "peer entry": (
        PeerEntry("127.0.0.1:1", "worker").encode(),
        PeerEntry.decode,
        msgspec.DecodeError,
    ),
    "load header": (b"1,2,7", decode_load, PlumvaneError),
    "response head": (
        b"1,2,7",
        lambda data: decode_response(
            [
                (name, data)
                for name in (
                    names.LOAD_HEADER,
                    names.LIMIT_HEADER,
                    names.REQUEST_ID_HEADER,
                )
            ]
        ),
        PlumvaneError,
    ),
    "request head": (
        b"5000",
        lambda data: decode_request(
            "GET",
            data,
            data,
            [
                (name, data)
                for name in (
                    names.DEADLINE_HEADER,
                    names.LAST_EVENT_HEADER,
                    names.PROMPT_HEADER,
                    b"connection",
                )
            ],
        ),
        PlumvaneError,
    ),
}


def decode_any(name: str, data: bytes) -> None:
    """Decodes data; only the decoder's documented errors may leave it."""
    _, decode, expected = DECODERS_BY_NAME[name]
    try:
        decode(data)
    except expected:
        return


@hypothesis.settings(derandomize=True, max_examples=400, deadline=None)
@hypothesis.given(
    st.sampled_from(sorted(DECODERS_BY_NAME)), st.binary(max_size=200)
)
def test_bytes_of_any_content_are_decoded_or_refused(
    name: str, data: bytes
) -> None:
    decode_any(name, data)


@hypothesis.settings(derandomize=True, max_examples=1000, deadline=None)
@hypothesis.given(
    st.sampled_from(sorted(DECODERS_BY_NAME)),
    st.integers(0, 400),
    st.binary(max_size=3),
    st.booleans(),
)
def test_damaged_values_are_decoded_or_refused(
    name: str, position: int, inserted: bytes, is_cut: bool
) -> None:
    valid = DECODERS_BY_NAME[name][0]
    position %= len(valid) + 1
    rest = b"" if is_cut else valid[position + len(inserted) :]
    decode_any(name, valid[:position] + inserted + rest)


def test_deeply_nested_values_are_refused() -> None:
    for name, (valid, _, _) in DECODERS_BY_NAME.items():
        decode_any(name, DEEP_JSON)
        decode_any(name, DEEP_MSGPACK)
        if valid.startswith(b"{"):
            decode_any(name, valid[:-1] + b"," + DEEP_JSON[1:])


def test_registrations_and_loads_that_cannot_be_right_are_refused() -> None:
    for field, value in (
        ("address", "127.0.0.1:99999"),
        ("address", "127.0.0.1:-5"),
        ("address", "127.0.0.1:8_0"),
        ("address", "127.0.0.1: 80"),
        ("address", "127.0.0.1:\u0663"),
        ("address", "0.0.0.0:80"),
        ("slots", -1),
        ("slots", 10**9),
        ("sequence", 2**64),
        ("born", 2**64),
        ("born", 10**30),
        ("born", -1),
    ):
        damaged = json.dumps(REGISTRATION | {field: value}).encode()
        try:
            decode_upstream("u", damaged)
        except ProtocolError:
            continue
        raise AssertionError(f"{field} {value} was accepted")
    for upstream_id in ("", "a b", "a\r\n", "\u0142"):
        try:
            decode_upstream(upstream_id, json.dumps(REGISTRATION).encode())
        except ProtocolError:
            continue
        raise AssertionError(f"the id {upstream_id!r} was accepted")
    assert decode_load(b"-9,0,7") is None
    assert decode_load(b"9" * 30 + b",0,7") is None
    assert decode_load(b"1,0," + b"9" * 400) is None
    try:
        decode_report(b'{"queue-depth":-9,"active-requests":0}')
    except ProtocolError:
        return
    raise AssertionError("a negative queue was accepted")


def test_jobs_whose_items_cannot_be_sent_are_refused() -> None:
    """A worker that ran such an item ended, and so did its successors."""
    for damage in (
        {"path": "/\u0142"},
        {"path": "x"},
        {"path": "/a b"},
        {"id": "a\r\n"},
        {"headers": {"X-\u0142": "v"}},
        {"headers": {"X": "\u0142"}},
        {"headers": {"X": "a\r\nX-Request-Id: b"}},
        {"headers": {"": "v"}},
    ):
        item = SUBMISSION["items"][0] | damage
        body = json.dumps({"items": [item]}).encode()
        try:
            decode_submission("j", "h", body)
        except PlumvaneError:
            continue
        raise AssertionError(f"{damage} was accepted")
    latin = {"headers": {"X-M": "caf\xe9 1,2;q=0.5", "X-E": ""}}
    item = SUBMISSION["items"][0] | latin
    body = json.dumps({"items": [item]}).encode()
    assert len(decode_submission("j", "h", body).items) == 1


def test_unreadable_entry_does_not_end_the_view() -> None:
    async def steps() -> None:
        store = MemoryStore()
        view = FleetView(store, "a", random.Random(1))
        deep = json.dumps(REGISTRATION).encode()[:-1] + b"," + DEEP_JSON[1:]
        async with anyio.create_task_group() as group:
            await put(store, names.UPSTREAM_PREFIX + "deep", deep)
            await put(store, names.CONFIGURATION_KEY, DEEP_JSON)
            group.start_soon(view.run)
            await put(
                store,
                names.UPSTREAM_PREFIX + "sound",
                json.dumps(REGISTRATION).encode(),
            )
            while "sound" not in view.upstreams.upstreams_by_id:
                await anyio.sleep(0.01)
            group.cancel_scope.cancel()

    run_with_timeout(steps)


async def put(store: MemoryStore, key: str, value: bytes) -> None:
    await store.transact([Write(key, value)], expected_by_key={})


def test_fault_in_one_item_does_not_end_the_worker() -> None:
    class FaultyEngine(FakeEngine):
        def _reply(self, item_id: str, after: int) -> Any:
            if item_id == "i1" and self.starts.count((item_id, None)) == 1:
                raise ValueError("a fault of ours")
            return super()._reply(item_id, after)

    async def steps() -> None:
        store = MemoryStore()
        await JobStore(store).accept("job", "h", items(3), JOB_ROUTE)
        worker = make_worker("w", store, FaultyEngine())
        async with anyio.create_task_group() as group:
            group.start_soon(worker.run)
            listed = await wait_until_listed(store, "job", 3)
            group.cancel_scope.cancel()
        assert {result.text for result in listed} == {FULL_TEXT}

    run_with_timeout(steps)


def test_malformed_frames_and_faults_of_handlers_do_not_end_a_server() -> None:
    async def read(call: Call, message: ReadStore) -> messages.Message:
        if message.key == "fault":
            raise ValueError("a fault of ours")
        return StoreRecords(())

    async def steps() -> None:
        address = f"127.0.0.1:{free_port('127.0.0.1')}"
        server, links = PeerServer(address), LinkPool("client")
        server.handle(ReadStore, read)
        async with anyio.create_task_group() as group:
            await group.start(server.run)
            group.start_soon(links.run)
            send_malformed(address)
            assert await call(links, address, "sound") == StoreRecords(())
            try:
                await call(links, address, "fault")
            except ProtocolError:
                pass
            else:
                raise AssertionError("the fault was not reported")
            assert await call(links, address, "sound") == StoreRecords(())
            group.cancel_scope.cancel()

    async def call(links: LinkPool, address: str, key: str) -> Any:
        with anyio.fail_after(5.0):
            return await links.call(
                address, ReadStore(key), deadline=anyio.current_time() + 5.0
            )

    run_with_timeout(steps)


def send_malformed(address: str) -> None:
    with zmq.Context() as context, context.socket(zmq.DEALER) as client:
        client.linger = 1000
        client.connect(f"tcp://{address}")
        hello = f"{wire.PROTOCOL_VERSION} x".encode()
        client.send_multipart([wire.pack(wire.Kind.HELLO), hello])
        for frames in (
            [b""],
            [b"x"],
            [b"short", b"body"],
            [wire.pack(wire.Kind.CALL, 1)],
            [wire.pack(wire.Kind.CALL, 2), DEEP_MSGPACK],
            [wire.pack(wire.Kind.CALL, 3), b"\xff" * 100],
            [wire.pack(wire.Kind.CANCEL, 99), b""],
            [wire.pack(wire.Kind.HELLO), b"\xff\xfe"],
            [wire.pack(wire.Kind.HELLO), hello, b"more"],
        ):
            client.send_multipart(frames)
