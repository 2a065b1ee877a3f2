"""Benchmark scenarios, read from INI files."""

from __future__ import annotations

import configparser
import dataclasses
import pathlib

__all__ = ["Online", "Scenario", "Variant", "read_scenario"]

VARIANT_PREFIX = "variant "


@dataclasses.dataclass(frozen=True, slots=True)
class Online:
    """Open-loop online load.

    Attributes:
        rate_per_s: Mean arrivals per second over the fleet.
        max_tokens: Output tokens of a request.
        prompt_words: Words of a prompt that are unique to it.
        prefix_words: Words of a prompt that are shared.
        prefixes: Number of shared prefixes.
        hot_share: Fraction of the requests that always use the first prefix.
        burst_at_s: Start of a burst, in seconds after the start; 0 for none.
        burst_for_s: Length of the burst.
        burst_factor: Ratio of the rate in the burst to the mean rate.
    """

    rate_per_s: float = 10.0
    max_tokens: int = 32
    prompt_words: int = 16
    prefix_words: int = 0
    prefixes: int = 1
    hot_share: float = 0.0
    burst_at_s: float = 0.0
    burst_for_s: float = 0.0
    burst_factor: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Variant:
    """One configuration under test.

    Attributes:
        name: Name in the table.
        policies: Policies of the fleet document.
        workload: Fields of the online workload in the fleet document.
        rate_factor: Multiplier of the online rate.
        batch: Whether the batch job runs.
        direct_streams: Streams sent directly to each engine, instead of the
            online load through the entries; 0 for none.
        slow_engines: Number of slow engines.
        kill_engines: Number of engines killed, with their sidecars.
        failing_engines: Number of engines that answer every request with an
            error.
    """

    name: str
    policies: dict[str, str]
    workload: dict[str, int]
    rate_factor: float = 1.0
    batch: bool = False
    direct_streams: int = 0
    slow_engines: int = 0
    kill_engines: int = 0
    failing_engines: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A fleet, its load and faults, and the variants to compare.

    Attributes:
        name: Name of the scenario file without its suffix.
        seed: Seed of arrivals and prompts.
        warmup_s: Seconds before the measured window.
        duration_s: Length of the measured window in seconds.
        entries: Number of entries.
        engines: Number of engines, each with a sidecar.
        engine_flags: Command-line flags of the engines.
        slow_factor: Multiplier of the step times of a slow engine.
        kill_at_s: When engines are killed, in seconds after the start.
        restart_at_s: When killed engines are restarted; 0 for never.
        online: The online load.
        batch_items: Number of items of the batch job.
        batch_max_tokens: Output tokens of an item.
        batch_prompt_words: Words of the prompt of an item.
        variants: Configurations, run in turn.
    """

    name: str
    seed: int
    warmup_s: float
    duration_s: float
    entries: int
    engines: int
    engine_flags: dict[str, float]
    slow_factor: float
    kill_at_s: float
    restart_at_s: float
    online: Online
    batch_items: int
    batch_max_tokens: int
    batch_prompt_words: int
    variants: tuple[Variant, ...]


def read_scenario(path: pathlib.Path) -> Scenario:
    """Reads a scenario.

    Raises:
        KeyError: A section or key is missing.
        ValueError: A value does not parse.
    """
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(path.read_text(encoding="utf-8"))
    run = parser["scenario"]
    fleet = parser["fleet"]
    batch = parser["batch"] if parser.has_section("batch") else {}
    faults = parser["faults"] if parser.has_section("faults") else {}
    return Scenario(
        name=path.stem,
        seed=run.getint("seed", 1),
        warmup_s=run.getfloat("warmup_s", 5.0),
        duration_s=run.getfloat("duration_s", 20.0),
        entries=fleet.getint("entries", 1),
        engines=fleet.getint("engines", 1),
        engine_flags=_read_floats(parser, "engine"),
        slow_factor=float(faults.get("slow_factor", "5")),
        kill_at_s=float(faults.get("kill_at_s", "0")),
        restart_at_s=float(faults.get("restart_at_s", "0")),
        online=_read_online(parser),
        batch_items=int(batch.get("items", "0")),
        batch_max_tokens=int(batch.get("max_tokens", "64")),
        batch_prompt_words=int(batch.get("prompt_words", "16")),
        variants=tuple(
            _read_variant(parser[name], name.removeprefix(VARIANT_PREFIX))
            for name in parser.sections()
            if name.startswith(VARIANT_PREFIX)
        ),
    )


def _read_floats(
    parser: configparser.ConfigParser, section: str
) -> dict[str, float]:
    if section not in parser:
        return {}
    return {key: float(text) for key, text in parser[section].items()}


def _read_online(parser: configparser.ConfigParser) -> Online:
    types_by_field = {
        f.name: type(f.default) for f in dataclasses.fields(Online)
    }
    values = parser["online"]
    return Online(
        **{key: types_by_field[key](text) for key, text in values.items()}
    )


def _read_variant(section: configparser.SectionProxy, name: str) -> Variant:
    policies = {}
    workload = {}
    for key, text in section.items():
        prefix, _, field = key.partition(".")
        if prefix == "policies":
            policies[field] = text
        elif prefix == "workload":
            workload[field] = int(text)
    return Variant(
        name,
        policies,
        workload,
        rate_factor=section.getfloat("rate_factor", 1.0),
        batch=section.getboolean("batch", False),
        direct_streams=section.getint("direct_streams", 0),
        slow_engines=section.getint("slow_engines", 0),
        kill_engines=section.getint("kill_engines", 0),
        failing_engines=section.getint("failing_engines", 0),
    )
