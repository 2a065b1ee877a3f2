"""Changes of the fleet document, checked against a list as the oracle."""

from __future__ import annotations

import json
import os
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from plumvane.errors import (
    ConflictError,
    OutcomeUnknownError,
    StoreUnavailableError,
)
from plumvane.fleet.current import CurrentDocument
from plumvane.fleet.document import token_digest
from plumvane.fleet.revisions import (
    DOCUMENT_KEY,
    AuditRecord,
    DocumentStore,
    Revision,
    decode_revision,
)
from plumvane.store.memory import MemoryStore

ENTRIES = 3
FAULTS = ("none", "down", "lost", "dies")


class WriterCrashedError(BaseException):
    """Simulates a crash of the writer during a change."""


class FaultyStore(MemoryStore):
    """Store in memory that fails once or from a given call on.

    Under the fault `down`, calls fail before they take effect; under `lost` and
    `dies`, one write takes effect before its call fails.
    """

    def __init__(self) -> None:
        super().__init__()
        self.fault = "none"
        self.calls_left = 0

    async def get(self, key: str) -> Any:
        self._fail_if_down()
        return await super().get(key)

    async def put(self, *args: Any, **kwargs: Any) -> int:
        self._fail_if_down()
        revision = await super().put(*args, **kwargs)
        if self.fault in ("lost", "dies") and self.calls_left <= 0:
            fault, self.fault = self.fault, "none"
            if fault == "dies":
                raise WriterCrashedError
            raise StoreUnavailableError("The response was lost.")
        return revision

    def _fail_if_down(self) -> None:
        self.calls_left -= 1
        if self.fault == "down" and self.calls_left <= 0:
            raise StoreUnavailableError("The store is down.")


class ConfigurationMachine(RuleBasedStateMachine):
    """Operators, entries and followers; the oracle is a list of changes."""

    def __init__(self) -> None:
        super().__init__()
        self.store = FaultyStore()
        self.entries = [self.make_entry(n) for n in range(ENTRIES)]
        self.followers = [CurrentDocument() for _ in range(ENTRIES)]
        self.highest_seen = [0] * ENTRIES
        # Oracle: operator and retention of the accepted changes; the first made
        # revision 1.
        self.accepted: list[tuple[str, int]] = []
        self.refused: list[str] = []
        self.sent: list[tuple[str, int, int]] = []

    def make_entry(self, number: int) -> DocumentStore:
        return DocumentStore(self.store, f"entry-{number}", settle_s=0.0)

    @rule(
        entry=st.integers(0, ENTRIES - 1),
        operator=st.sampled_from(["ana", "ben"]),
        behind=st.integers(0, 2),
        retention=st.integers(60, 64),
        fault=st.sampled_from(FAULTS),
        calls=st.integers(0, 4),
    )
    def change(
        self,
        entry: int,
        operator: str,
        behind: int,
        retention: int,
        fault: str,
        calls: int,
    ) -> None:
        base_revision = max(0, len(self.accepted) - behind)
        self.sent.append((operator, base_revision, retention))
        self.send(entry, operator, base_revision, retention, fault, calls)

    @rule(
        entry=st.integers(0, ENTRIES - 1),
        index=st.integers(0, 50),
        fault=st.sampled_from(FAULTS),
        calls=st.integers(0, 4),
    )
    def resend(self, entry: int, index: int, fault: str, calls: int) -> None:
        if self.sent:
            change = self.sent[index % len(self.sent)]
            self.send(entry, *change, fault, calls)

    @rule(follower=st.integers(0, ENTRIES - 1))
    def fetch_from_store(self, follower: int) -> None:
        self.followers[follower].offer(self.stored())

    @rule(
        follower=st.integers(0, ENTRIES - 1), peer=st.integers(0, ENTRIES - 1)
    )
    def fetch_from_peer(self, follower: int, peer: int) -> None:
        source = self.followers[peer]
        self.followers[follower].offer(Revision(source.revision, source.data))

    @rule(entry=st.integers(0, ENTRIES - 1))
    def read_audit_trail(self, entry: int) -> None:
        trail = run(self.entries[entry].audit)
        accepted_in_trail = [c for c in trail if c.refusal is None]
        assert [c.revision for c in accepted_in_trail] == list(
            range(1, len(self.accepted) + 1)
        )
        assert [
            (c.operator, c.from_revision + 1) for c in accepted_in_trail
        ] == [
            (operator, number)
            for number, (operator, _) in enumerate(self.accepted, start=1)
        ]
        assert trail == sorted(trail, key=lambda change: change.time)

    @rule()
    def read_refusals(self) -> None:
        for entry in self.entries:
            run(entry.flush)
        trail = run(self.entries[0].audit)
        found = sorted(c.refusal for c in trail if c.refusal)
        assert found == sorted(self.refused)

    @invariant()
    def check_newest_revision(self) -> None:
        stored = self.stored()
        assert stored.number == len(self.accepted)
        if self.accepted:
            assert retention_of(stored.document) == self.accepted[-1][1]

    @invariant()
    def check_followers_never_revert(self) -> None:
        for number, follower in enumerate(self.followers):
            assert follower.revision >= self.highest_seen[number]
            self.highest_seen[number] = follower.revision
            if follower.revision:
                expected = self.accepted[follower.revision - 1][1]
                assert follower.document.retention_s == expected

    def send(
        self,
        entry: int,
        operator: str,
        base_revision: int,
        retention: int,
        fault: str,
        calls: int,
    ) -> None:
        before = len(self.accepted)
        self.store.fault, self.store.calls_left = fault, calls
        number: int | None = None
        refusal = ""
        try:
            number = run(
                lambda: self.entries[entry].apply(
                    document(retention),
                    from_revision=base_revision,
                    operator=operator,
                )
            ).number
        except (ConflictError, StoreUnavailableError) as error:
            refusal = error.code
        except OutcomeUnknownError:
            refusal = "unknown"
        except WriterCrashedError:
            refusal = "died"
        self.store.fault = "none"
        if self.stored().number > before:
            self.accepted.append((operator, retention))
            assert refusal in ("", "unknown", "died"), refusal
        if number is not None:
            assert self.accepted[number - 1] == (operator, retention)
            assert number == base_revision + 1
        if refusal == "conflict" and base_revision < len(self.accepted):
            assert self.accepted[base_revision] != (operator, retention)
        if refusal == "died":
            self.entries[entry] = self.make_entry(entry)
        elif refusal and refusal != "unknown":
            self.refuse(entry, operator, base_revision, refusal)

    def refuse(
        self, entry: int, operator: str, base_revision: int, refusal: str
    ) -> None:
        run(
            lambda: self.entries[entry].record_refusal(
                from_revision=base_revision, operator=operator, refusal=refusal
            )
        )
        self.refused.append(refusal)

    def stored(self) -> Revision:
        record = run(lambda: MemoryStore.get(self.store, DOCUMENT_KEY))
        return decode_revision(record.value) if record else Revision(0, b"{}")


def run(call: Callable[[], Awaitable[Any]]) -> Any:
    return anyio.run(call)


def document(retention: int) -> bytes:
    operator = {"token_sha256": token_digest("t"), "role": "change"}
    return json.dumps(
        {"retention_s": retention, "operators": {"ana": operator}}
    ).encode()


def retention_of(data: bytes) -> int:
    return int(json.loads(data)["retention_s"])


def test_fuzz_configuration_against_the_oracle() -> None:
    long = os.environ.get("HYPOTHESIS_PROFILE") == "long"
    run_state_machine_as_test(
        ConfigurationMachine,
        settings=settings(
            derandomize=True,
            deadline=None,
            max_examples=1000 if long else 60,
            stateful_step_count=30,
        ),
    )


def test_applied_change_with_unknown_outcome_is_listed_once() -> None:
    async def drive() -> list[AuditRecord]:
        store = FaultyStore()
        entry = DocumentStore(store, "entry-0", settle_s=0.0)
        for refusal in ("outcome_unknown", "conflict"):
            await entry.record_refusal(
                from_revision=0,
                operator="ana",
                refusal=refusal,
                document=document(60),
            )
        await entry.apply(document(60), from_revision=0, operator="ana")
        return await entry.audit()

    trail = anyio.run(drive)
    assert [c.refusal for c in trail] == ["conflict", None]


def test_audit_is_complete_if_a_change_is_made_during_the_read() -> None:
    class ChangingStore(MemoryStore):
        changes: list[Callable[[], Awaitable[Any]]] = []

        async def list(self, *args: Any, **kwargs: Any) -> Any:
            result = await super().list(*args, **kwargs)
            while self.changes:
                await self.changes.pop()()
            return result

    async def drive() -> list[AuditRecord]:
        store = ChangingStore()
        entry = DocumentStore(store, "entry-0")
        await entry.apply(document(60), from_revision=0, operator="ana")
        store.changes.append(
            lambda: entry.apply(document(61), from_revision=1, operator="ana")
        )
        return await entry.audit()

    assert 1 in [c.revision for c in anyio.run(drive)]
