"""Tests that the public interfaces used by users, sites, peers and the simulator are unchanged.

``surface.json`` contains the commands with their options and help, the results of representative invocations,
the keywords of settings files, the messages of ``proto/``, the keys of the deployment file and the keys that
are read from the platform's file. It contains no internal names. Each test compares its part exactly;
``pytest -vv`` shows the whole difference. To change an interface on purpose, edit ``surface.json`` manually
and give the reason in the commit.

click formats the help texts, so another version of click may change their whitespace.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tomllib
from collections.abc import Iterator
from hashlib import sha256
from importlib.metadata import version
from pathlib import Path
from types import ModuleType
from typing import Any

import click
import pytest
from click.testing import CliRunner

from stairplank import proto, settings_text
from stairplank.cli import main
from stairplank.emulator.experiment import EXPERIMENT
from stairplank.platform import config as platform_config
from stairplank.rehearsal.scenario import SCENARIO
from stairplank.scale.plan import SCALE
from stairplank.settings import Block, Key
from stairplank.settings.planner import PLANNER_SCHEMA
from stairplank.settings.site import SITE_SCHEMA
from stairplank.standin.config import CLIENT_POOL, NODE_LIST, NODE_POOL

HERE = Path(__file__).parent
ROOT = HERE.parents[1]
SURFACE = json.loads((HERE / "surface.json").read_text(encoding="utf-8"))
PLATFORM_FILE = json.loads((HERE.parent / "stored/data/platform.json").read_text(encoding="utf-8"))
WIDTH = 100
PROCESSORS = 4  # replaces the machine's number of processors where that is a default value
NAME = "stairplank"
SCHEMAS = {
    "planner": PLANNER_SCHEMA,
    "site": SITE_SCHEMA,
    "node": NODE_POOL,
    "directory": NODE_LIST,
    "owners": CLIENT_POOL,
    "scenario": SCENARIO,
    "experiment": EXPERIMENT,
    "scale": SCALE,
}
# Sample texts by whose results the value parsers are distinguished. The last text is valid only as free text.
PROBES = ["0", "1", "-1", "7", "70000", "2.5", "30%", "250ms", "0s", "3s..7s", "4k", "yes", "a-b", "a b"]
PROBES += ["127.0.0.1:80", "unix:a", "99999999999999999999", "?"]


# Commands


def commands(command: click.Command, arguments: tuple[str, ...] = ()) -> Iterator[tuple[str, click.Command]]:
    """Yield every command of the tree with the arguments that invoke it."""
    yield " ".join(arguments), command
    if isinstance(command, click.Group):
        for name in sorted(command.commands):
            yield from commands(command.commands[name], (*arguments, name))


def invoke(arguments: list[str]) -> Any:
    """Run the command in this process, without the environment variable GW_CONFIG."""
    return CliRunner(env={"GW_CONFIG": None}).invoke(main, arguments, prog_name=NAME, terminal_width=WIDTH)


def options(command: click.Command) -> list[dict[str, Any]]:
    """Return a description of each option and argument of a command."""
    return [parameter_description(item) for item in command.params]


def parameter_description(item: click.Parameter) -> dict[str, Any]:
    """Return a description of a parameter. An option has its spellings, an argument has none."""
    is_option = isinstance(item, click.Option)
    default = item.default if isinstance(item.default, (str, int, float, bool)) else None
    return {
        "spelled": [*item.opts, *item.secondary_opts] if is_option else [],
        "takes": type_description(item.type),
        "required": item.required,
        "many": item.multiple,
        "flag": is_option and item.is_flag,
        "environment": item.envvar,
        "default": default,
    }


def type_description(param_type: click.ParamType) -> list[Any]:
    """Return the name of a parameter type with its bounds, choices or path flags."""
    if isinstance(param_type, click.Choice):
        return [param_type.name, *param_type.choices]
    if isinstance(param_type, (click.IntRange, click.FloatRange)):
        return [param_type.name, param_type.min, param_type.max]
    if isinstance(param_type, click.Path):
        return [param_type.name, param_type.exists, param_type.file_okay, param_type.dir_okay]
    return [param_type.name]


@pytest.fixture
def fixed_processor_count(monkeypatch: pytest.MonkeyPatch) -> None:
    """Set the default of ``--processes`` to a constant: help shows the machine's number of processors."""
    for _, command in commands(main):
        for item in command.params:
            if "--processes" in item.opts:
                monkeypatch.setattr(item, "default", PROCESSORS)


@pytest.mark.usefixtures("fixed_processor_count")
def test_every_command_takes_the_same_options() -> None:
    assert {arguments: options(command) for arguments, command in commands(main)} == SURFACE["options"]


@pytest.mark.usefixtures("fixed_processor_count")
def test_every_command_s_help_reads_the_same() -> None:
    assert {arguments: help_of(arguments) for arguments, _ in commands(main)} == SURFACE["help"]


def help_of(arguments: str) -> list[str]:
    """Return the lines of a command's help."""
    result = invoke([*arguments.split(), "--help"])
    assert result.exit_code == 0, result.output
    return str(result.output).splitlines()


@pytest.mark.parametrize("arguments", SURFACE["invocations"])
def test_an_invocation_has_the_same_exit_code_and_output(
    arguments: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.chdir(HERE)
    assert invocation_result(arguments) == SURFACE["invocations"][arguments]


def invocation_result(arguments: str) -> dict[str, Any]:
    """Return the exit code and the printed lines of an invocation."""
    result = invoke(arguments.split())
    lines = {"output": result.stdout.splitlines(), "errors": result.stderr.splitlines()}
    return {"exit code": result.exit_code} | lines


def test_the_version_is_that_of_the_package() -> None:
    assert invocation_result("--version")["output"] == [f"{NAME}, version {version(NAME)}"]


# Settings files


def parse_result(parser: Any, text: str) -> Any:
    """Return what a value parser makes of a text, or its error message."""
    try:
        return json.loads(json.dumps(parser(text)))
    except ValueError as error:
        return {"not": str(error)}


def keyword_description(item: Key | Block, parsers: list[Any]) -> dict[str, Any]:
    """Return a description of a keyword. Each value is the index of its parser in ``parsers``."""
    out: dict[str, Any] = {"values": [parser_index(value, parsers) for value in item.value_parsers]}
    if isinstance(item, Block):
        out["keywords"] = {key.name: keyword_description(key, parsers) for key in item.keys}
    else:
        out["repeat"], out["least rest"], out["words"] = item.repeat, item.min_rest, list(item.separators)
        out["rest"] = None if item.rest_parser is None else parser_index(item.rest_parser, parsers)
    return out | {"required": item.required}


def parser_index(parser: Any, parsers: list[Any]) -> int:
    """Return the index of a parser. Parsers with the same results for all of PROBES share an index."""
    results = [parse_result(parser, text) for text in PROBES]
    if results not in parsers:
        parsers.append(results)
    return parsers.index(results)


def keywords_of_all() -> dict[str, Any]:
    """Return the keywords of every settings file and the results of each value parser for PROBES."""
    parsers: list[Any] = []
    files = {
        name: {item.name: keyword_description(item, parsers) for item in schema}
        for name, schema in SCHEMAS.items()
    }
    return {"probes": PROBES, "kinds of values": parsers, "files": files}


def test_settings_files_take_the_same_keywords() -> None:
    actual, expected = keywords_of_all(), SURFACE["settings"]
    for name in expected["files"]:
        assert actual["files"][name] == expected["files"][name], name
    assert actual == expected


# Messages


def file_descriptors() -> list[Any]:
    """Return the descriptors of all files in ``proto/``."""
    modules = [value for value in vars(proto).values() if isinstance(value, ModuleType)]
    return [module.DESCRIPTOR for module in modules if hasattr(module, "DESCRIPTOR")]


def message_description(message: Any) -> Iterator[tuple[str, Any]]:
    """Yield a message and its nested messages, each by name with a description of its fields."""
    yield message.full_name, {field.name: field_description(field) for field in message.fields}
    for inner in message.nested_types:
        yield from message_description(inner)


def field_description(field: Any) -> list[Any]:
    """Return the number, type (number or name), repeated flag and oneof name of a field."""
    named_type = field.message_type or field.enum_type
    oneof = field.containing_oneof.name if field.containing_oneof else None
    return [field.number, named_type.full_name if named_type else field.type, field.is_repeated, oneof]


def enums_of(scope: Any) -> Iterator[tuple[str, Any]]:
    """Yield the enums of a file or message and of all messages nested in it."""
    for enum in scope.enum_types_by_name.values():
        yield enum.full_name, {value.name: value.number for value in enum.values}
    inner = getattr(scope, "message_types_by_name", None) or getattr(scope, "nested_types_by_name", {})
    for message in inner.values():
        yield from enums_of(message)


def service_description(service: Any) -> dict[str, Any]:
    """Return the methods of a service with their message types and whether these are streamed."""
    return {
        method.name: [
            method.input_type.full_name,
            method.client_streaming,
            method.output_type.full_name,
            method.server_streaming,
        ]
        for method in service.methods
    }


def proto_surface() -> dict[str, Any]:
    """Return the messages, enums and services of all files in ``proto/``."""
    out: dict[str, Any] = {"messages": {}, "enums": {}, "services": {}}
    for file in file_descriptors():
        for message in file.message_types_by_name.values():
            out["messages"].update(message_description(message))
        out["enums"].update(enums_of(file))
        services = file.services_by_name.values()
        out["services"].update({service.full_name: service_description(service) for service in services})
    return out


def test_messages_have_the_same_fields_and_numbers() -> None:
    actual, expected = proto_surface(), SURFACE["proto"]
    assert actual["messages"] == expected["messages"]
    assert actual["enums"] == expected["enums"]
    assert actual["services"] == expected["services"]


def test_proto_files_are_the_same() -> None:
    assert proto_digests() == SURFACE["proto files"]


def proto_digests() -> dict[str, str]:
    """Return the SHA-256 digest of each file in ``proto/``."""
    files = sorted((ROOT / "proto").rglob("*.proto"))
    return {str(path.relative_to(ROOT)): sha256(path.read_bytes()).hexdigest() for path in files}


# The platform


def test_the_deployment_has_the_same_keys() -> None:
    assert deployment() == SURFACE["deployment"]


def deployment() -> dict[str, Any]:
    """Return the deployment file, with a placeholder for the lists of the program's own files."""
    values = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))
    return {key: "paths" if key in ("policy", "node") else value for key, value in values.items()}


class KeyRecorder(dict[str, Any]):
    """A mapping that records each key that is read. A key of a nested mapping is recorded with its path."""

    def __init__(self, values: dict[str, Any], keys_read: set[str], path: str = "") -> None:
        super().__init__({key: self._wrap(value, keys_read, f"{path}{key}") for key, value in values.items()})
        self._keys_read, self._path = keys_read, path

    @classmethod
    def _wrap(cls, value: Any, keys_read: set[str], path: str) -> Any:
        if isinstance(value, dict):
            return cls(value, keys_read, f"{path}.")
        if isinstance(value, list):
            return [cls._wrap(item, keys_read, f"{path}.*") for item in value]
        return value

    def __getitem__(self, key: str) -> Any:
        self._keys_read.add(self._path + key)
        return super().__getitem__(key)

    def get(self, key: str, default: Any = None) -> Any:
        self._keys_read.add(self._path + key)
        return super().get(key, default)


def test_the_same_keys_are_read_from_the_platform_s_file(monkeypatch: pytest.MonkeyPatch) -> None:
    assert file_keys(monkeypatch) == SURFACE["keys of the platform's file"]


def file_keys(monkeypatch: pytest.MonkeyPatch) -> dict[str, list[str]]:
    """Return the keys that are read from the platform's file and from its flattened settings."""
    object_keys: set[str] = set()
    settings_keys_read: set[str] = set()
    flatten = settings_text.flatten
    monkeypatch.setattr(
        settings_text, "flatten", lambda nested: KeyRecorder(flatten(nested), settings_keys_read)
    )
    platform_config.parse(platform_config.ConfigFile("", KeyRecorder(PLATFORM_FILE, object_keys), ""))
    return {"object": sorted(object_keys), "settings": sorted(settings_keys_read)}


def test_the_simulator_s_settings_have_the_same_required_keys() -> None:
    assert settings_keys() == SURFACE["keys of the simulator's settings"]


def settings_keys() -> dict[str, str]:
    """Return each key that is looked up, with the error for settings without it or that it is optional."""
    text = settings_text.flatten(PLATFORM_FILE["settings"])
    keys_read: set[str] = set()
    settings_text.settings_from(settings_text.SettingsReader(KeyRecorder(text, keys_read)))
    return {key: requirement(key, text) for key in sorted(keys_read)}


def requirement(key: str, text: dict[str, str]) -> str:
    """Return the error for settings without the key, or that the key may be left out."""
    try:
        settings_text.settings_from(
            settings_text.SettingsReader({name: value for name, value in text.items() if name != key})
        )
    except ValueError as error:
        return str(error)
    return "may be left out"


def test_the_settings_are_flattened_to_the_same_text() -> None:
    assert settings_text.flatten(PLATFORM_FILE["settings"]) == SURFACE["settings as a text"]


RECORD_ENVIRONMENT_READS = """
import os, runpy, sys
keys_read = set()
class RecordingEnvironment(dict):
    def record(self, key):
        if sys._getframe(2).f_globals.get("__name__", "").partition(".")[0] in ("stairplank", "__main__"):
            keys_read.add(key)
    def __getitem__(self, key):
        self.record(key)
        return super().__getitem__(key)
    def get(self, key, default=None):
        self.record(key)
        return super().get(key, default)
    def __contains__(self, key):
        self.record(key)
        return super().__contains__(key)
os.environ = RecordingEnvironment(os.environ)
os.getenv = os.environ.get
try:
    runpy.run_module("stairplank.platform", run_name="__main__")
except SystemExit as error:
    print(error.code, *sorted(keys_read))
"""


def test_the_platform_s_planner_reads_the_same_variables() -> None:
    environment = {key: value for key, value in os.environ.items() if key != "GW_CONFIG"}
    result = subprocess.run(
        [sys.executable, "-c", RECORD_ENVIRONMENT_READS],
        capture_output=True,
        text=True,
        timeout=60,
        cwd=ROOT,
        env=environment | {"GW_CONFIG": "no-such-file.json"},
    )
    assert result.stdout.split() == SURFACE["variables of the platform's planner"]
    assert "no-such-file.json" in result.stderr
