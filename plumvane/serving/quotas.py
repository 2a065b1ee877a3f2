"""Quotas of teams, whose requests arrive at many instances.

A grantor keeps an account for each team. Instances admit the requests of a team
that is far from its quota by themselves, a few at most before they report them,
and ask the grantor about each request of a team that is near it.
"""

from __future__ import annotations

import dataclasses

from plumvane.serving.rates import TokenBucket
from plumvane.serving.teams import Team

__all__ = ["Grant", "GrantorSeat", "QuotaAccounts", "QuotaBounds", "QuotaMeter"]

# How the requests that may arrive above a quota are divided: a part may be
# saved up beyond the burst, a part may be unreported, and a part is granted by
# one that does not know what was spent. The rest covers a change of grantor.
SAVED_SHARE = 0.25
UNREPORTED_SHARE = 0.5
INITIAL_SHARE = 0.25
# A team is near its quota below this share of its burst, or with less than the
# requests of this time in seconds, and far again with twice as many.
NEAR_BURST_SHARE = 1 / 3
NEAR_S = 0.5
FAR_FACTOR = 2.0
# Largest parts of the capacity at which a team becomes near, and far again.
MAX_NEAR_CAPACITY = 0.5
MAX_FAR_CAPACITY = 0.9
# Interval of the reports, in seconds: a fifth of the usual window.
REPORT_S = 1.0
# Time without a message after which an account may belong to another grantor,
# and time for which an instance counts as asking a deputy, in seconds: one
# report may be missing.
QUIET_S = 1.25
# Shares of a quota that a deputy grants: of all of it if most instances ask it,
# so that the first grantor must be lost, and else of the part of those that do.
DEPUTY_SHARE = 0.8
PART_SHARE = 0.5
# A grantor that has just started grants a part while deputies may still grant,
# for this time in seconds.
STARTING_S = 2.0
STARTING_SHARE = 0.5
# Share of its equal part that an instance admits if it reaches no grantor.
OWN_SHARE = 0.5
# Time after which an account without requests is dropped, in seconds.
IDLE_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaBounds:
    """How far the requests of all instances together may exceed a quota.

    Attributes:
        window_s: Length of the windows in which requests are counted, in
            seconds.
        overage: Share of a quota that may be exceeded in a window.
        slack: Number of requests that may be added to that.
    """

    window_s: float = 5.0
    overage: float = 0.1
    slack: float = 20.0

    def margin(self, team: Team) -> float:
        """Returns the number of requests that may exceed a team's quota."""
        quota = team.max_rate * self.window_s + team.burst
        return self.overage * quota + self.slack

    def allowance(self, team: Team) -> float:
        """Returns the number of a team's requests that may run in a window."""
        return team.max_rate * self.window_s + team.burst + self.margin(team)

    def capacity(self, team: Team) -> float:
        """Returns the number of requests that a team may save up."""
        return max(1.0, team.burst + SAVED_SHARE * self.margin(team))

    def initial(self, team: Team) -> float:
        """Returns what is granted without knowing what was spent before."""
        return max(1.0, INITIAL_SHARE * self.margin(team))

    def near(self, team: Team) -> float:
        """Returns the number of tokens below which a team is near."""
        return max(1.0, NEAR_BURST_SHARE * team.burst, NEAR_S * team.max_rate)

    def max_unreported(self, team: Team, instances: int) -> int:
        """Returns how many requests an instance admits before it reports.

        Together they are what a grantor has left for a team that is far, and
        half of what may exceed the quota. At least one request is free, so
        that small teams cost no message in large fleets either.

        Args:
            team: The team.
            instances: Number of instances that admit requests.
        """
        unreported = UNREPORTED_SHARE * self.margin(team) + self.near(team)
        return max(1, int(unreported / max(1, instances)))


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Answer of a grantor.

    Attributes:
        wait_s: Seconds until there will be a token for this caller; 0 if one
            is granted.
        is_near: Whether each request of the team must be granted.
        tokens: Tokens left.
        age_s: Seconds for which the grantor has kept the account.
    """

    wait_s: float
    is_near: bool
    tokens: float
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class GrantorSeat:
    """What a grantor may grant to one that asks.

    Attributes:
        share: Share of the rate.
        is_first: Whether it is the grantor, not a deputy.
    """

    share: float = 1.0
    is_first: bool = True


@dataclasses.dataclass(slots=True)
class _Account:
    """Account of a team at a grantor.

    Attributes:
        bucket: Its tokens; below zero if more were admitted than granted.
        opened_at: Monotonic time in seconds at which it was opened.
        is_near: Whether the team is near its quota.
        promised_until: Monotonic time in seconds of the last return that a
            refused caller was told.
    """

    bucket: TokenBucket
    opened_at: float
    is_near: bool = False
    promised_until: float = 0.0


class QuotaAccounts:
    """Accounts of the teams at a grantor.

    Answers a hot team that sends through all instances, the loss and return of
    grantors, and the loss of instances with what they had not reported.
    """

    def __init__(self, bounds: QuotaBounds, now: float) -> None:
        """Creates a grantor without accounts.

        Args:
            bounds: How far quotas may be exceeded.
            now: Monotonic time in seconds at which the grantor starts.
        """
        self._bounds = bounds
        self._started_at = now
        self._grantors: frozenset[str] = frozenset()
        # Monotonic time since which this grantor's teams are the same.
        self._same_since = now
        self._dropped_at = now
        # By the team's name, and whether the seat is the first: one instance
        # that takes a deputy's must not throttle the others.
        self._accounts_by_seat: dict[tuple[str, bool], _Account] = {}
        self._asked_at_by_instance_by_first: dict[str, dict[str, float]] = {}

    def update_grantors(self, grantors: frozenset[str], now: float) -> None:
        """Updates the grantors among which the teams are divided.

        An account that another grantor may have kept meanwhile is not trusted.
        A grantor starts with its first message: whoever was asked before that
        may still grant.

        Args:
            grantors: Names of all grantors.
            now: Monotonic time in seconds.
        """
        if grantors != self._grantors:
            if not self._grantors:
                self._started_at = now
            self._same_since = now
            self._grantors = grantors

    def seat(
        self, instance: str, first: str, instances: int, now: float
    ) -> GrantorSeat:
        """Returns what may be granted to an instance.

        Args:
            instance: The instance that asks.
            first: The grantor that it cannot reach, empty if it asks the first.
            instances: Number of instances.
            now: Monotonic time in seconds.
        """
        if not first:
            is_starting = now < self._started_at + STARTING_S
            return GrantorSeat(STARTING_SHARE if is_starting else 1.0)
        if first not in self._asked_at_by_instance_by_first:
            self._drop_quiet(now)
        asked_at = self._asked_at_by_instance_by_first.get(first, {})
        asked_at = _heard(asked_at, now) | {instance: now}
        self._asked_at_by_instance_by_first[first] = asked_at
        part = min(1.0, len(asked_at) / max(1, instances))
        share = DEPUTY_SHARE if part > PART_SHARE else PART_SHARE * part
        return GrantorSeat(share, is_first=False)

    def report(
        self, team: Team, count: int, seat: GrantorSeat, now: float
    ) -> bool:
        """Charges requests that an instance has admitted by itself.

        Args:
            team: The team.
            count: Number of requests, below zero for requests that did not run.
            seat: What the grantor may grant.
            now: Monotonic time in seconds.

        Returns:
            Whether the team is near its quota.
        """
        if team.max_rate <= 0:
            return False
        account = self._account(team, seat, now)
        account.bucket.charge(count)
        return self._update_near(account, team)

    def take(
        self, team: Team, count: int, seat: GrantorSeat, now: float
    ) -> Grant:
        """Takes a token, after a charge as in `report`.

        Refused callers are told successive times, one for each token, so that
        not all of them come back for the same one.
        """
        if team.max_rate <= 0:
            return Grant(0.0, False, 0.0, 0.0)
        account = self._account(team, seat, now)
        account.bucket.charge(count)
        wait_s = account.bucket.take(now)
        if wait_s:
            wait_s = self._promise(account, wait_s, now)
        is_near = self._update_near(account, team)
        age_s = now - account.opened_at
        return Grant(wait_s, is_near, account.bucket.tokens, age_s)

    def _account(self, team: Team, seat: GrantorSeat, now: float) -> _Account:
        """Returns a team's account for a seat, with the limits of now."""
        rate = team.max_rate * seat.share
        initial = self._bounds.initial(team)
        capacity = self._bounds.capacity(team) if seat.is_first else initial
        since = self._same_since if seat.is_first else now
        trusted = initial + rate * (now - since)
        key = (team.name, seat.is_first)
        account = self._accounts_by_seat.get(key)
        if account is None:
            self._drop_idle(now)
            bucket = TokenBucket(rate, capacity, now, min(capacity, trusted))
            account = _Account(bucket, now)
            self._accounts_by_seat[key] = account
            return account
        bucket = account.bucket
        was_quiet = bucket.updated_at < self._same_since - QUIET_S
        bucket.refill(now)
        if was_quiet:
            bucket.tokens = min(bucket.tokens, trusted)
        bucket.limit(rate, capacity)
        return account

    def _promise(self, account: _Account, wait_s: float, now: float) -> float:
        """Returns the wait of a refused caller, at most one window."""
        next_at = account.promised_until + 1.0 / account.bucket.rate
        if next_at > now + self._bounds.window_s:
            next_at = 0.0
        account.promised_until = max(now + wait_s, next_at)
        promised_s = max(wait_s, account.promised_until - now)
        return min(promised_s, self._bounds.window_s)

    def _update_near(self, account: _Account, team: Team) -> bool:
        burst = account.bucket.burst
        near = min(self._bounds.near(team), MAX_NEAR_CAPACITY * burst)
        if account.is_near:
            near = min(FAR_FACTOR * near, MAX_FAR_CAPACITY * burst)
        account.is_near = account.bucket.tokens < near
        return account.is_near

    def _drop_quiet(self, now: float) -> None:
        """Drops grantors for which no instance asks a deputy any more."""
        self._asked_at_by_instance_by_first = {
            first: asked_at
            for first, asked_at in self._asked_at_by_instance_by_first.items()
            if _heard(asked_at, now)
        }

    def _drop_idle(self, now: float) -> None:
        if now - self._dropped_at < IDLE_S:
            return
        self._dropped_at = now
        self._accounts_by_seat = {
            key: account
            for key, account in self._accounts_by_seat.items()
            if now - account.bucket.updated_at < IDLE_S
        }


def _heard(
    asked_at_by_instance: dict[str, float], now: float
) -> dict[str, float]:
    """Returns the instances that were heard lately."""
    return {
        instance: at
        for instance, at in asked_at_by_instance.items()
        if now - at <= QUIET_S
    }


@dataclasses.dataclass(slots=True)
class _Tally:
    """What an instance knows of a team.

    Attributes:
        team: The team.
        unreported: Requests admitted since the last report, less those that
            did not run.
        sent: Those of a report whose answer is awaited.
        is_near: Whether each request must be granted.
        own: Bucket from which it admits without a grantor.
        own_since: Monotonic time in seconds since which it uses that.
    """

    team: Team
    unreported: int = 0
    sent: int = 0
    is_near: bool = False
    own: TokenBucket | None = None
    own_since: float = 0.0


class QuotaMeter:
    """Decides at an instance which requests are admitted without asking.

    Answers teams far from their quota, whose requests cost no message of
    their own, and the loss of all grantors.
    """

    def __init__(self, bounds: QuotaBounds) -> None:
        """Creates a meter without counts.

        Args:
            bounds: How far quotas may be exceeded.
        """
        self._bounds = bounds
        self._tallies_by_team: dict[str, _Tally] = {}

    def admit(self, team: Team, instances: int) -> bool:
        """Admits a request if no grantor needs to be asked.

        Args:
            team: The team.
            instances: Number of instances.

        Returns:
            Whether it is admitted; it is counted then.
        """
        tally = self._tally(team)
        limit = self._bounds.max_unreported(team, instances)
        if tally.is_near or tally.unreported + tally.sent >= limit:
            return False
        tally.unreported += 1
        return True

    def unreported(self) -> list[tuple[Team, int]]:
        """Returns the teams with counts to report, and forgets idle ones."""
        self._tallies_by_team = {
            name: tally
            for name, tally in self._tallies_by_team.items()
            if tally.unreported or tally.sent or tally.is_near or tally.own
        }
        return [
            (tally.team, tally.unreported)
            for tally in self._tallies_by_team.values()
            if tally.unreported
        ]

    def send(self, team: Team) -> int:
        """Returns the count of a message that is about to be sent."""
        tally = self._tally(team)
        count, tally.unreported = tally.unreported, 0
        tally.sent += count
        return count

    def settle(self, team: Team, count: int, is_near: bool) -> None:
        """Records the answer to a message.

        Args:
            team: The team.
            count: Count that the message contained.
            is_near: Whether each request must be granted from now on.
        """
        tally = self._tally(team)
        tally.sent -= count
        tally.is_near = is_near
        tally.own = None

    def restore(self, team: Team, count: int) -> None:
        """Takes the count of a message back that had no answer."""
        tally = self._tally(team)
        tally.sent -= count
        tally.unreported += count

    def take_own(self, team: Team, instances: int, now: float) -> Grant:
        """Takes a token from this instance's own share of a quota.

        What is admitted is reported to the next grantor, but for what is older
        than a window.

        Args:
            team: The team.
            instances: Number of instances.
            now: Monotonic time in seconds.
        """
        tally = self._tally(team)
        rate = team.max_rate * OWN_SHARE / max(1, instances)
        if tally.own is None:
            tally.own = TokenBucket(rate, 1.0, now)
            tally.own_since = now
        tally.own.limit(rate, 1.0)
        wait_s = min(tally.own.take(now), self._bounds.window_s)
        limit = self._bounds.max_unreported(team, instances)
        limit += int(rate * self._bounds.window_s) + 1
        if not wait_s and tally.unreported < limit:
            tally.unreported += 1
        age_s = now - tally.own_since
        return Grant(wait_s, True, tally.own.tokens, age_s)

    def give_back(self, team: Team, *, is_own: bool = False) -> None:
        """Returns the token of a request that did not run.

        Args:
            team: The team.
            is_own: Whether it was admitted from this instance's own share.
        """
        tally = self._tally(team)
        if is_own and tally.own is not None:
            tally.own.charge(-1)
        tally.unreported -= 1

    def _tally(self, team: Team) -> _Tally:
        tally = self._tallies_by_team.get(team.name)
        if tally is None:
            tally = self._tallies_by_team[team.name] = _Tally(team)
        tally.team = team
        return tally
