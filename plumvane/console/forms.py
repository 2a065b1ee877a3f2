"""Builds forms from the models of the fleet document."""

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
    """A part of the document that is edited through one kind of form.

    Attributes:
        name: Key of the section in the document.
        title: Heading of the section.
        model: Pydantic model of one entry.
        is_single: Whether it holds a single entry instead of a map of entries.
        field_names: Names of the form's fields.
    """

    name: str
    title: str
    model: type[pydantic.BaseModel]
    is_single: bool
    field_names: tuple[str, ...]

    def path(self, entry: str) -> str:
        """Returns the dotted path of an entry in the document."""
        if self.model is FleetDocument:
            return ""
        return self.name if self.is_single else f"{self.name}.{entry}"

    def read(self, document: dict[str, Any], entry: str) -> dict[str, Any]:
        """Returns an entry of a document; an empty dict if it is absent."""
        if self.model is FleetDocument:
            return {name: document.get(name) for name in self.field_names}
        section: dict[str, Any] = document.get(self.name, {})
        entry_value = section if self.is_single else section.get(entry, {})
        return dict(entry_value)

    def write(
        self, document: dict[str, Any], entry: str, value: dict[str, Any]
    ) -> dict[str, Any]:
        """Returns a copy of a document with an entry added or replaced."""
        changed = copy.deepcopy(document)
        if self.model is FleetDocument:
            changed.update(value)
        elif self.is_single:
            changed[self.name] = value
        else:
            changed.setdefault(self.name, {})[entry] = value
        return changed

    def remove(self, document: dict[str, Any], entry: str) -> dict[str, Any]:
        """Returns a copy of a document without an entry."""
        changed = copy.deepcopy(document)
        changed.get(self.name, {}).pop(entry, None)
        return changed


def _make_section(
    name: str,
    title: str,
    model: type[pydantic.BaseModel],
    is_single: bool = False,
) -> Section:
    return Section(name, title, model, is_single, tuple(model.model_fields))


SECTIONS_BY_NAME: dict[str, Section] = {
    section.name: section
    for section in (
        _make_section("models", "Models", Model),
        _make_section("services", "Plain services", Service),
        _make_section("workloads", "Workloads", Workload),
        _make_section("teams", "Teams", Team),
        _make_section("operators", "Operators", Operator),
        _make_section(
            "policies", "Priority rules and policies", Policies, True
        ),
        Section(
            "retention", "Retention", FleetDocument, True, ("retention_s",)
        ),
    )
}


@dataclasses.dataclass(slots=True)
class Field:
    """A form field.

    Attributes:
        name: Name of the field in the model.
        kind: `bool`, `number`, `text`, `choice` or `digests`.
        help: Help text.
        value: Current value as text.
        choices: Allowed values, if the field is a choice.
        error: Validation error with its remedy; empty if none.
    """

    name: str
    kind: str
    help: str
    value: str
    choices: tuple[str, ...] = ()
    error: str = ""


class Form:
    """Form for one entry of the document."""

    def __init__(
        self,
        section: Section,
        document: FleetDocument,
        names_by_policy: Mapping[str, Iterable[str]],
    ) -> None:
        """Creates an empty form.

        Args:
            section: Section that the form edits.
            document: Document whose models are offered as choices.
            names_by_policy: Allowed values of each policy field.
        """
        self.section = section
        help_texts = _attribute_docs(section.model)
        self.fields: list[Field] = []
        for name in section.field_names:
            info = section.model.model_fields[name]
            kind, choices = _field_kind(info.annotation)
            if name == TOKEN_FIELD:
                kind = "digests"
            elif name == "model":
                kind, choices = "choice", tuple(document.models)
            elif section.name == "policies" and name in names_by_policy:
                kind = "choice"
                choices = tuple(sorted(names_by_policy[name]))
            default = info.get_default() if not info.is_required() else None
            text = _format_value(default)
            self.fields.append(
                Field(name, kind, help_texts[name], text, choices)
            )

    def fill(self, value: Mapping[str, Any]) -> None:
        """Fills the fields from an entry of a document."""
        for field in self.fields:
            if field.name in value:
                field.value = _format_value(value[field.name])

    def fill_submitted(self, submitted: Mapping[str, Any]) -> None:
        """Fills the fields from submitted form data."""
        for field in self.fields:
            if field.kind == "bool":
                field.value = "true" if field.name in submitted else "false"
            else:
                field.value = str(submitted.get(field.name, ""))

    def build_entry(self) -> dict[str, Any]:
        """Builds an entry from the fields, without validating it."""
        entry: dict[str, Any] = {}
        for field in self.fields:
            text = field.value.strip()
            if field.kind == "bool":
                entry[field.name] = text == "true"
            elif field.kind == "digests":
                entry[field.name] = self._digests(text)
            elif text:
                entry[field.name] = text
        return entry

    def add_token(self, entry: dict[str, Any]) -> str:
        """Returns a new token, after adding its digest to an entry."""
        token = secrets.token_urlsafe(TOKEN_BYTES)
        digest = token_digest(token)
        if isinstance(entry[TOKEN_FIELD], list):
            entry[TOKEN_FIELD].append(digest)
        else:
            entry[TOKEN_FIELD] = digest
        return token

    def assign_faults(self, faults: Iterable[str], entry: str) -> list[str]:
        """Assigns faults to their fields and returns the remaining ones."""
        entry_path = self.section.path(entry)
        prefix = f"{entry_path}." if entry_path else ""
        unassigned = []
        for fault in faults:
            path, _, text = fault.partition(": ")
            for field in self.fields:
                field_path = f"{prefix}{field.name}"
                if path == field_path or path.startswith(f"{field_path}."):
                    field.error = text
                    break
            else:
                unassigned.append(fault)
        return unassigned

    def _digests(self, text: str) -> list[str] | str:
        if self.section.name == "operators":
            return text
        return text.split()


def _field_kind(annotation: Any) -> tuple[str, tuple[str, ...]]:
    type_origin = typing.get_origin(annotation)
    if type_origin is typing.Literal:
        return "choice", typing.get_args(annotation)
    if annotation is bool:
        return "bool", ()
    if annotation in (int, float):
        return "number", ()
    return "text", ()


def _format_value(value: Any) -> str:
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, (list, tuple)):
        return "\n".join(str(item) for item in value)
    return str(value)


def _attribute_docs(model: type[pydantic.BaseModel]) -> dict[str, str]:
    """Returns the texts of a docstring's `Attributes:` section by field."""
    docstring = inspect.getdoc(model) or ""
    _, _, attributes = docstring.partition("Attributes:\n")
    help_texts = dict.fromkeys(model.model_fields, "")
    for match in re.finditer(
        r"^    (\w+): (.*(?:\n     .*)*)", attributes, re.MULTILINE
    ):
        if match[1] in help_texts:
            text = " ".join(match[2].split())
            help_texts[match[1]] = text.replace("`", "")
    return help_texts
