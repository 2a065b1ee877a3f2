"""Validation of the fleet document's policies against their registries."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from plumvane.fleet.document import FleetDocument, document_check
from plumvane.jobs.order import ORDERS_BY_NAME
from plumvane.routing.policies import POLICIES_BY_NAME
from plumvane.upstreams.admission import ADMISSION_POLICIES_BY_NAME

__all__ = ["NAMES_BY_POLICY"]

# Policy fields of the document and the names allowed in each.
NAMES_BY_POLICY: dict[str, Mapping[str, Any]] = {
    "admission": ADMISSION_POLICIES_BY_NAME,
    "routing": POLICIES_BY_NAME,
    "batch_order": ORDERS_BY_NAME,
}


@document_check("policies")
def _check_policies(document: FleetDocument) -> list[str]:
    policies = document.policies.model_dump()
    return [
        f"policies.{field}: {policies[field]!r} is unknown; use one of "
        + ", ".join(sorted(names))
        for field, names in NAMES_BY_POLICY.items()
        if policies[field] not in names
    ]
