"""The configuration file that ``GW_CONFIG`` names. Reads files, decides nothing."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from hashlib import sha256
from typing import Any

from .. import interface as api
from .. import wire

MAX_CONFIG_BYTES = 16_000_000  # bytes
REVISION_DIGEST_DIGITS = (
    12  # hexadecimal digits of a file's SHA-256 that stand for a revision without a number
)


class ConfigError(Exception):
    """The file cannot be used; the text gives the reason."""


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: str
    node_list_address: str
    seed: int
    sockets: int
    settings: api.Settings
    zones: tuple[str, ...]
    tenants: tuple[str, ...]
    fields: tuple[str, ...]  # of load reports, as machines name them
    dial_timeout_us: int
    idle_us: int
    handshake_price: float  # of a connection, as a share
    known_updates: tuple[dict[str, Any], ...]
    revision: str = ""  # of the file


@dataclass(frozen=True, slots=True)
class ConfigFile:
    """A file that was read; its content is not checked yet."""

    path: str
    value: Mapping[str, Any]
    revision: str


def read(path: str) -> ConfigFile:
    """The file's object and revision. Raises ConfigError."""
    try:
        with open(path, "rb") as file:
            raw = file.read(MAX_CONFIG_BYTES)
        value = json.loads(raw)
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: {error}") from None
    if not isinstance(value, dict):
        raise ConfigError(f"{path}: no JSON object")
    return ConfigFile(path, value, _revision(raw, value.get("revision")))


def _revision(raw: bytes, number: object) -> str:
    """The number that the file has, else the beginning of its digest."""
    if isinstance(number, int) and not isinstance(number, bool):
        return str(number)
    return sha256(raw).hexdigest()[:REVISION_DIGEST_DIGITS]


def parse_node_list_address(value: Mapping[str, Any]) -> str:
    """The node list service's address. Raises ConfigError."""
    board = value.get("board")
    host, _, port = board.rpartition(":") if isinstance(board, str) else ("", "", "")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ConfigError(f"board: {board!r} is no address")
    return f"{host}:{port}"


def _parse_names(value: Any) -> tuple[str, ...]:
    """Danger: the settings text has no blanks or commas in names; by its spelling the names that clients,
    machines and the node list service send would match nothing."""
    if not isinstance(value or [], list):
        raise ValueError(f"a list of names is needed, not {value!r}")
    return tuple(str(name) for name in value or ())


def _with_configured_names(settings: api.Settings, value: Mapping[str, Any]) -> api.Settings:
    """The same with classes and kinds as they are named in the file."""
    classes = zip(settings.classes, value["classes"], strict=True)
    kinds = zip(settings.node_types, _parse_names(value["kinds"]), strict=True)
    return replace(
        settings,
        classes=tuple(replace(c, name=str(v.get("name", c.name))) for c, v in classes),
        node_types=tuple(replace(k, name=name) for k, name in kinds),
    )


def load(path: str) -> Config:
    """Raises ConfigError."""
    return parse(read(path))


def parse(file: ConfigFile) -> Config:
    """The typed configuration of a file. Raises ConfigError."""
    value = file.value
    try:
        options = wire.Options(wire.flattened(value["settings"]))
        settings = _with_configured_names(wire.settings_from(options), value["settings"])
        known = value.get("known") or {}
        return Config(
            name=str(value.get("name", "")),
            listen=str(value["listen"]),
            node_list_address=parse_node_list_address(value),
            seed=int(str(value.get("seed", "0")), 16),
            sockets=int(value.get("limits", {}).get("sockets", 1024)),
            settings=settings,
            zones=_parse_names(value["settings"].get("dcs")),
            tenants=tuple(str(party["name"]) for party in value["settings"].get("parties") or ()),
            fields=_parse_names((value["settings"].get("report") or {}).get("fields")),
            dial_timeout_us=options.whole("limits.dial_timeout_us", 250_000),
            handshake_price=options.number("penalties.handshake", 0.0),
            idle_us=options.whole("limits.conn_idle_us", 30_000_000),
            known_updates=tuple(known.get("notices", ())),
            revision=file.revision,
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ConfigError(f"{file.path}: {type(error).__name__}: {error}") from None
