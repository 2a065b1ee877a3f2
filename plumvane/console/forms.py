"""Forms generated from the models of the fleet document."""

from __future__ import annotations

import copy
import dataclasses
import inspect
import re
import secrets
import typing
from collections.abc import Iterable, Mapping
from typing import Any

import pydantic

from plumvane.fleet.document import (
    FleetDocument,
    Model,
    Operator,
    Policies,
    Service,
    Team,
    Workload,
    token_digest,
)

__all__ = ["SECTIONS_BY_NAME", "Field", "Form", "Section"]

TOKEN_FIELD = "token_sha256"
NEW_TOKEN = "new_token"
TOKEN_BYTES = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Section:
    """A part of the document that one kind of form edits.

    Attributes:
        name: Its key in the document.
        title: Its heading.
        model: Model of one entry.
        is_single: Whether it is one entry and not a map of entries.
        field_names: Fields of the form.
    """

    name: str
    title: str
    model: type[pydantic.BaseModel]
    is_single: bool
    field_names: tuple[str, ...]

    def path(self, entry: str) -> str:
        """Returns the path of an entry in the document, with dots."""
        if self.model is FleetDocument:
            return ""
        return self.name if self.is_single else f"{self.name}.{entry}"

    def read(self, document: dict[str, Any], entry: str) -> dict[str, Any]:
        """Returns an entry of a document; empty if it is absent."""
        if self.model is FleetDocument:
            return {name: document.get(name) for name in self.field_names}
        section: dict[str, Any] = document.get(self.name, {})
        found = section if self.is_single else section.get(entry, {})
        return dict(found)

    def write(
        self, document: dict[str, Any], entry: str, value: dict[str, Any]
    ) -> dict[str, Any]:
        """Returns a document with an entry replaced."""
        changed = copy.deepcopy(document)
        if self.model is FleetDocument:
            changed.update(value)
        elif self.is_single:
            changed[self.name] = value
        else:
            changed.setdefault(self.name, {})[entry] = value
        return changed

    def remove(self, document: dict[str, Any], entry: str) -> dict[str, Any]:
        """Returns a document without an entry."""
        changed = copy.deepcopy(document)
        changed.get(self.name, {}).pop(entry, None)
        return changed


def _section(
    name: str, title: str, model: type[pydantic.BaseModel], single: bool = False
) -> Section:
    return Section(name, title, model, single, tuple(model.model_fields))


SECTIONS_BY_NAME: dict[str, Section] = {
    section.name: section
    for section in (
        _section("models", "Models", Model),
        _section("services", "Plain services", Service),
        _section("workloads", "Workloads", Workload),
        _section("teams", "Teams", Team),
        _section("operators", "Operators", Operator),
        _section("policies", "Priority rules and policies", Policies, True),
        Section(
            "retention", "Retention", FleetDocument, True, ("retention_s",)
        ),
    )
}


@dataclasses.dataclass(slots=True)
class Field:
    """A field of a form.

    Attributes:
        name: Name of the field in the model.
        kind: `bool`, `number`, `text`, `choice` or `digests`.
        help: What it means.
        value: Text that stands in it.
        choices: Values to choose from.
        error: What is wrong with it, with the remedy.
    """

    name: str
    kind: str
    help: str
    value: str
    choices: tuple[str, ...] = ()
    error: str = ""


class Form:
    """A form for one entry of the document."""

    def __init__(
        self,
        section: Section,
        document: FleetDocument,
        names_by_policy: Mapping[str, Iterable[str]],
    ) -> None:
        """Creates an empty form.

        Args:
            section: What it edits.
            document: Document that gives the choices.
            names_by_policy: Names that each policy field may hold.
        """
        self.section = section
        helps = _attribute_helps(section.model)
        self.fields: list[Field] = []
        for name in section.field_names:
            info = section.model.model_fields[name]
            kind, choices = _kind(info.annotation)
            if name == TOKEN_FIELD:
                kind = "digests"
            elif name == "model":
                kind, choices = "choice", tuple(document.models)
            elif section.name == "policies" and name in names_by_policy:
                kind = "choice"
                choices = tuple(sorted(names_by_policy[name]))
            default = info.get_default() if not info.is_required() else None
            text = _text(default)
            self.fields.append(Field(name, kind, helps[name], text, choices))

    def fill(self, value: Mapping[str, Any]) -> None:
        """Fills the fields from an entry of a document."""
        for field in self.fields:
            if field.name in value:
                field.value = _text(value[field.name])

    def fill_typed(self, typed: Mapping[str, Any]) -> None:
        """Fills the fields with what was typed."""
        for field in self.fields:
            if field.kind == "bool":
                field.value = "true" if field.name in typed else "false"
            else:
                field.value = str(typed.get(field.name, ""))

    def entry(self) -> dict[str, Any]:
        """Returns the entry that the fields make, not yet checked."""
        made: dict[str, Any] = {}
        for field in self.fields:
            text = field.value.strip()
            if field.kind == "bool":
                made[field.name] = text == "true"
            elif field.kind == "digests":
                made[field.name] = self._digests(text)
            elif text:
                made[field.name] = text
        return made

    def add_token(self, entry: dict[str, Any]) -> str:
        """Adds a new token's digest to an entry; returns the token."""
        token = secrets.token_urlsafe(TOKEN_BYTES)
        digest = token_digest(token)
        if isinstance(entry[TOKEN_FIELD], list):
            entry[TOKEN_FIELD].append(digest)
        else:
            entry[TOKEN_FIELD] = digest
        return token

    def take_faults(self, faults: Iterable[str], entry: str) -> list[str]:
        """Puts faults beside their fields; returns those of no field."""
        path = self.section.path(entry)
        prefix = f"{path}." if path else ""
        others = []
        for fault in faults:
            place, _, text = fault.partition(": ")
            for field in self.fields:
                wanted = f"{prefix}{field.name}"
                if place == wanted or place.startswith(f"{wanted}."):
                    field.error = text
                    break
            else:
                others.append(fault)
        return others

    def _digests(self, text: str) -> list[str] | str:
        if self.section.name == "operators":
            return text
        return text.split()


def _kind(annotation: Any) -> tuple[str, tuple[str, ...]]:
    origin = typing.get_origin(annotation)
    if origin is typing.Literal:
        return "choice", typing.get_args(annotation)
    if annotation is bool:
        return "bool", ()
    if annotation in (int, float):
        return "number", ()
    return "text", ()


def _text(value: Any) -> str:
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, (list, tuple)):
        return "\n".join(str(item) for item in value)
    return str(value)


def _attribute_helps(model: type[pydantic.BaseModel]) -> dict[str, str]:
    """Returns the texts of a model's `Attributes:`, by field."""
    doc = inspect.getdoc(model) or ""
    _, _, attributes = doc.partition("Attributes:\n")
    helps = dict.fromkeys(model.model_fields, "")
    for match in re.finditer(
        r"^    (\w+): (.*(?:\n     .*)*)", attributes, re.MULTILINE
    ):
        if match[1] in helps:
            text = " ".join(match[2].split())
            helps[match[1]] = text.replace("`", "")
    return helps
