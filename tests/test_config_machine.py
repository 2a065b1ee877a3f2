"""Changes of the fleet document against a simple oracle."""

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


class WriterDiedError(BaseException):
    """The writer was lost in the middle of a change."""


class FaultyStore(MemoryStore):
    """A store that fails at a given call, once or from then on."""

    def __init__(self) -> None:
        super().__init__()
        self.fault = "none"
        self.calls_left = 0

    async def get(self, key: str) -> Any:
        self._fail_before()
        return await super().get(key)

    async def put(self, *args: Any, **kwargs: Any) -> int:
        self._fail_before()
        revision = await super().put(*args, **kwargs)
        if self.fault in ("lost", "dies") and self.calls_left <= 0:
            fault, self.fault = self.fault, "none"
            if fault == "dies":
                raise WriterDiedError
            raise StoreUnavailableError("The answer was lost.")
        return revision

    def _fail_before(self) -> None:
        self.calls_left -= 1
        if self.fault == "down" and self.calls_left <= 0:
            raise StoreUnavailableError("The store is down.")


class ConfigurationMachine(RuleBasedStateMachine):
    """Operators, entries and followers; the oracle is a list of documents."""

    def __init__(self) -> None:
        super().__init__()
        self.store = FaultyStore()
        self.entries = [self.make_entry(n) for n in range(ENTRIES)]
        self.followers = [CurrentDocument() for _ in range(ENTRIES)]
        self.seen = [0] * ENTRIES
        # Oracle: accepted documents in order, the first by revision 1.
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
        based_on = max(0, len(self.accepted) - behind)
        self.sent.append((operator, based_on, retention))
        self.send(entry, operator, based_on, retention, fault, calls)

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
    def learn_from_store(self, follower: int) -> None:
        self.followers[follower].offer(self.stored())

    @rule(
        follower=st.integers(0, ENTRIES - 1), peer=st.integers(0, ENTRIES - 1)
    )
    def learn_from_peer(self, follower: int, peer: int) -> None:
        source = self.followers[peer]
        self.followers[follower].offer(Revision(source.revision, source.data))

    @rule(entry=st.integers(0, ENTRIES - 1))
    def read_trail(self, entry: int) -> None:
        trail = run(self.entries[entry].audit)
        made = [c for c in trail if c.refusal is None]
        assert [c.revision for c in made] == list(
            range(1, len(self.accepted) + 1)
        )
        assert [(c.operator, c.from_revision + 1) for c in made] == [
            (operator, number)
            for number, (operator, _) in enumerate(self.accepted, start=1)
        ]
        assert trail == sorted(trail, key=lambda change: change.time)

    @rule()
    def refusals_are_in_the_trail(self) -> None:
        for entry in self.entries:
            run(entry.flush)
        trail = run(self.entries[0].audit)
        found = sorted(c.refusal for c in trail if c.refusal)
        assert found == sorted(self.refused)

    @invariant()
    def newest_is_the_last_accepted(self) -> None:
        stored = self.stored()
        assert stored.number == len(self.accepted)
        if self.accepted:
            assert retention_of(stored.document) == self.accepted[-1][1]

    @invariant()
    def followers_never_fall_behind(self) -> None:
        for number, follower in enumerate(self.followers):
            assert follower.revision >= self.seen[number]
            self.seen[number] = follower.revision
            if follower.revision:
                wanted = self.accepted[follower.revision - 1][1]
                assert follower.document.retention_s == wanted

    def send(
        self,
        entry: int,
        operator: str,
        based_on: int,
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
                    from_revision=based_on,
                    operator=operator,
                )
            ).number
        except (ConflictError, StoreUnavailableError) as error:
            refusal = error.code
        except OutcomeUnknownError:
            refusal = "unknown"
        except WriterDiedError:
            refusal = "died"
        self.store.fault = "none"
        if self.stored().number > before:
            self.accepted.append((operator, retention))
            assert refusal in ("", "unknown", "died"), refusal
        if number is not None:
            assert self.accepted[number - 1] == (operator, retention)
            assert number == based_on + 1
        if refusal == "conflict" and based_on < len(self.accepted):
            assert self.accepted[based_on] != (operator, retention)
        if refusal == "died":
            self.entries[entry] = self.make_entry(entry)
        elif refusal and refusal != "unknown":
            self.refuse(entry, operator, based_on, refusal)

    def refuse(
        self, entry: int, operator: str, based_on: int, refusal: str
    ) -> None:
        run(
            lambda: self.entries[entry].record_refusal(
                from_revision=based_on, operator=operator, refusal=refusal
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


def test_unknown_outcome_that_took_effect_is_listed_once() -> None:
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


def test_change_made_while_the_trail_is_read_hides_no_other() -> None:
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
