"""Reads the configuration file that ``GW_CONFIG`` names and converts it to typed settings."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from hashlib import sha256
from typing import Any

import gevent

from .. import interface as api
from .. import settings_text

READ_RETRIES, READ_RETRY_S = 10, 0.1
MAX_CONFIG_BYTES = 16_000_000
MAX_PORT = 65_535
# Number of hexadecimal digits of a file's SHA-256 that serve as the revision of a file without a number.
REVISION_DIGEST_DIGITS = 12


class ConfigError(Exception):
    """The configuration cannot be used.

    Attributes:
        reason: What is wrong, as text.
        path: The file's path, if the text names it.
        key: The key in the file whose value is wrong; None if the whole file is.
        value: The wrong value.
    """

    def __init__(
        self, reason: str, *, path: str | None = None, key: str | None = None, value: object = None
    ) -> None:
        """Set the exception's text to path, key and reason, without those that are None."""
        super().__init__(": ".join(part for part in (path, key, reason) if part is not None))
        self.reason = reason
        self.path = path
        self.key = key
        self.value = value


@dataclass(frozen=True, slots=True)
class Config:
    """The typed configuration of a planner."""

    name: str  # name of the planner
    listen: str  # address for clients
    node_list_address: str  # address of the node list service
    seed: int
    sockets: int  # maximum number of connections
    settings: api.Settings
    zones: tuple[str, ...]
    tenants: tuple[str, ...]
    fields: tuple[str, ...]  # names of the fields of a load report
    dial_timeout_us: int
    idle_us: int  # machines close a connection that is idle for this long
    handshake_price: float  # price of a new connection, as a fraction
    known_updates: tuple[dict[str, Any], ...]  # node list updates from before the start, not validated
    revision: str = ""  # revision of the file


@dataclass(frozen=True, slots=True)
class ConfigFile:
    """A configuration file's JSON object and revision; the object is not validated."""

    path: str
    value: Mapping[str, Any]
    revision: str


def _read_bytes(path: str) -> bytes:
    """Read the file's bytes; try again for a second if the system cannot read it for a moment."""
    for _ in range(READ_RETRIES):
        try:
            with open(path, "rb") as file:
                return file.read(MAX_CONFIG_BYTES)
        except (FileNotFoundError, PermissionError, IsADirectoryError):
            raise
        except OSError:
            gevent.sleep(READ_RETRY_S)
    with open(path, "rb") as file:
        return file.read(MAX_CONFIG_BYTES)


def read(path: str) -> ConfigFile:
    """Read the JSON object and the revision of a file. Raises ConfigError."""
    try:
        raw = _read_bytes(path)
        value = json.loads(raw)
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(str(error), path=path) from None
    if not isinstance(value, dict):
        raise ConfigError("the file is not a JSON object", path=path, value=value)
    return ConfigFile(path, value, _revision(raw, value.get("revision")))


def _revision(raw: bytes, number: object) -> str:
    """Return the revision number in the file, or the first digits of the file's SHA-256 if it has none."""
    if isinstance(number, int) and not isinstance(number, bool):
        return str(number)
    return sha256(raw).hexdigest()[:REVISION_DIGEST_DIGITS]


def parse_node_list_address(value: Mapping[str, Any]) -> str:
    """Return the node list service's address from the file's key ``board``. Raises ConfigError."""
    text = value.get("board")
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ConfigError(f"{text!r} is not an address of the form host:port", key="board", value=text)
    return f"{host}:{port}"


def _parse_names(value: Any) -> tuple[str, ...]:
    """Return the names in a list exactly as the file spells them.

    The settings text replaces blanks and commas in names, so its spelling would not match the names that
    clients, machines and the node list service send.
    """
    if not isinstance(value or [], list):
        # The log names the type of the error, which operators know as ValueError.
        raise ValueError(f"a list of names is needed, not {value!r}")  # noqa: TRY004 - see above
    return tuple(str(name) for name in value or ())


def _with_configured_names(settings: api.Settings, value: Mapping[str, Any]) -> api.Settings:
    """Return the settings with the names of classes and node types as the file spells them."""
    classes = zip(settings.classes, value["classes"], strict=True)
    node_types = zip(settings.node_types, _parse_names(value["kinds"]), strict=True)
    return replace(
        settings,
        classes=tuple(
            replace(task_class, name=str(entry.get("name", task_class.name))) for task_class, entry in classes
        ),
        node_types=tuple(replace(node_type, name=name) for node_type, name in node_types),
    )


def load(path: str) -> Config:
    """Read the configuration file at ``path`` and return it typed. Raises ConfigError."""
    return parse(read(path))


def parse(file: ConfigFile) -> Config:
    """Return the typed configuration of a file. Raises ConfigError."""
    value = file.value
    try:
        options = settings_text.SettingsReader(settings_text.flatten(value["settings"]))
        settings = _with_configured_names(settings_text.settings_from(options), value["settings"])
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
        raise ConfigError(f"{type(error).__name__}: {error}", path=file.path) from None
