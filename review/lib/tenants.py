"""One tenant with a quota, whose clients send through all gateways."""

from __future__ import annotations

import asyncio
from typing import Any

import rig as lib

HOST = "calls.example"
KEY = "k7f3a91c2d5"
TENANT = "huka"
# The site file of the tenants' deployment has quotas of 1.6 times the usual
# traffic (`quota_x`), and a hot tenant with 7.5 times its usual for 6.5 s.
USUAL_RATE = 37.5
RATE = 1.6 * USUAL_RATE
HOT_RATE = 7.2 * USUAL_RATE
HOT_S = 6.5
# Time in which the tenant saves up its burst, in seconds.
CALM_S = 12.0
WINDOW_S = 5.0
OVERAGE = 0.1
SLACK = 20.0


def configuration(burst: float) -> dict[str, Any]:
    """Returns a configuration with a route and the tenant.

    Args:
        burst: Requests that the tenant may save up.
    """
    return {
        "version": 3,
        "routes": [
            {
                "name": "slip",
                "host": HOST,
                "path-prefix": "/slip/",
                "kind": "safe",
                "service": "app",
                "timeout-ms": 2000,
                "max-attempts": 2,
                "target-latency-ms": 300,
                "priority": 2,
                "public": False,
            }
        ],
        "services": [{"name": "app", "health-path": "/health"}],
        "limits": {"max-body-bytes": 4194304, "idle-timeout-ms": 15000},
        "tenants": [
            {
                "name": TENANT,
                "api-keys": [KEY],
                "rate-per-s": RATE,
                "burst": burst,
            }
        ],
    }


class Clients:
    """Sends the tenant's requests and counts those that run."""

    def __init__(self, rig: lib.Rig, gateways: tuple[str, ...]) -> None:
        self._rig = rig
        self._gateways = gateways
        self._sent_at_by_id: dict[str, float] = {}

    async def send_at_rate(self, rate: float, for_s: float) -> None:
        """Sends at a steady rate to all gateways in turn."""
        tasks = []
        record = self._rig.record
        started_at = record.now()
        for number in range(int(rate * for_s)):
            due_at = started_at + number / rate
            await asyncio.sleep(max(0.0, due_at - record.now()))
            gateway = self._gateways[number % len(self._gateways)]
            tasks.append(self._rig.spawn(self._send(gateway)))
        await asyncio.gather(*tasks)

    async def _send(self, gateway: str) -> None:
        record = self._rig.record
        request_id = f"r{len(self._sent_at_by_id):05}"
        sent_at = self._sent_at_by_id[request_id] = record.now()
        answer = await lib.call(
            self._rig.programs[gateway].callers,
            "POST",
            f"/slip/{request_id}",
            {
                "Host": HOST,
                "X-Request-Id": request_id,
                "X-Deadline-Ms": "2000",
                "Api-Key": KEY,
            },
            b"slip",
            3.0,
        )
        record.write(
            f"{request_id} sent at {sent_at:.3f} to {gateway}: {answer.status}"
        )

    def keeper(self, workers: tuple[str, ...]) -> str:
        """Returns the worker that refused a request, as the gateways log it.

        Raises:
            NotRunnableError: No request was refused yet.
        """
        for gateway in self._gateways:
            for worker in workers:
                if f'"worker":"{worker}"' in self._rig.log_of(gateway):
                    return worker
        raise lib.NotRunnableError("No request has been refused yet.")

    def judge(self, burst: float) -> bool:
        """Returns whether more ran in a window than the rule allows.

        A request counts in a window if it was sent and arrived in it.

        Args:
            burst: Requests that the tenant may save up.
        """
        allowed = (RATE * WINDOW_S + burst) * (1 + OVERAGE) + SLACK
        record = self._rig.record
        rows = sorted(
            (self._sent_at_by_id[run.request_id], run.at)
            for run in self._rig.runs
        )
        most, at = 0, 0.0
        for begin, (begins_at, _) in enumerate(rows):
            ends_at = begins_at + WINDOW_S
            count = sum(arrived < ends_at for _, arrived in rows[begin:])
            if count > most:
                most, at = count, begins_at
        record.say(
            f"most requests of tenant {TENANT} that ran in {WINDOW_S:g} s: "
            f"{most}, from {at:.3f} s on; allowed: {allowed:g}"
        )
        return most > allowed
