"""The outer surface as the landed version has it: what users, sites, peers and the simulator rely on.

``surface.json`` has the commands with their options and help, the outcome of representative invocations, the
keywords of settings files, the messages of ``proto/``, the deployment's keys and the keys that the platform's
file is asked for. It names nothing that is internal. A test compares its part exactly; ``pytest -vv`` shows
the whole difference. A part that is meant to change is edited by hand, with the reason in the commit.

Help is laid out by click, so another version of click may differ in blanks alone.
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
PROCESSES = 4  # stands for the machine's processors where they are a default
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
# Words that tell the kinds of values apart; the last is no value of any kind but a free text.
PROBES = ["0", "1", "-1", "7", "70000", "2.5", "30%", "250ms", "0s", "3s..7s", "4k", "yes", "a-b", "a b"]
PROBES += ["127.0.0.1:80", "unix:a", "99999999999999999999", "?"]


# Commands


def commands(command: click.Command, words: tuple[str, ...] = ()) -> Iterator[tuple[str, click.Command]]:
    """Every command of the tree with the words that call it."""
    yield " ".join(words), command
    if isinstance(command, click.Group):
        for name in sorted(command.commands):
            yield from commands(command.commands[name], (*words, name))


def invoke(words: list[str]) -> Any:
    """Run the command in this process, without the platform's variable."""
    return CliRunner(env={"GW_CONFIG": None}).invoke(main, words, prog_name=NAME, terminal_width=WIDTH)


def options(command: click.Command) -> list[dict[str, Any]]:
    """What a command takes, as its user sees it."""
    return [parameter(one) for one in command.params]


def parameter(one: click.Parameter) -> dict[str, Any]:
    """An argument by its place, an option by its spellings."""
    is_option = isinstance(one, click.Option)
    default = one.default if isinstance(one.default, (str, int, float, bool)) else None
    return {
        "spelled": [*one.opts, *one.secondary_opts] if is_option else [],
        "takes": kind_of(one.type),
        "required": one.required,
        "many": one.multiple,
        "flag": is_option and one.is_flag,
        "environment": one.envvar,
        "default": default,
    }


def kind_of(kind: click.ParamType) -> list[Any]:
    """A type of values with its bounds or choices."""
    if isinstance(kind, click.Choice):
        return [kind.name, *kind.choices]
    if isinstance(kind, (click.IntRange, click.FloatRange)):
        return [kind.name, kind.min, kind.max]
    if isinstance(kind, click.Path):
        return [kind.name, kind.exists, kind.file_okay, kind.dir_okay]
    return [kind.name]


@pytest.fixture
def same_processors(monkeypatch: pytest.MonkeyPatch) -> None:
    """Help shows the machine's processors as a default; here they are always as many."""
    for _, command in commands(main):
        for one in command.params:
            if "--processes" in one.opts:
                monkeypatch.setattr(one, "default", PROCESSES)


@pytest.mark.usefixtures("same_processors")
def test_every_command_takes_the_same_options() -> None:
    assert {words: options(command) for words, command in commands(main)} == SURFACE["options"]


@pytest.mark.usefixtures("same_processors")
def test_every_command_s_help_reads_the_same() -> None:
    assert {words: help_of(words) for words, _ in commands(main)} == SURFACE["help"]


def help_of(words: str) -> list[str]:
    """The lines of a command's help."""
    outcome = invoke([*words.split(), "--help"])
    assert outcome.exit_code == 0, outcome.output
    return str(outcome.output).splitlines()


@pytest.mark.parametrize("words", SURFACE["invocations"])
def test_an_invocation_ends_and_prints_the_same(words: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.chdir(HERE)
    assert outcome_of(words) == SURFACE["invocations"][words]


def outcome_of(words: str) -> dict[str, Any]:
    """Exit code and what is printed."""
    outcome = invoke(words.split())
    lines = {"output": outcome.stdout.splitlines(), "errors": outcome.stderr.splitlines()}
    return {"exit code": outcome.exit_code} | lines


def test_the_version_is_that_of_the_package() -> None:
    assert outcome_of("--version")["output"] == [f"{NAME}, version {version(NAME)}"]


# Settings files


def reading(value: Any, word: str) -> Any:
    """What a kind of value makes of a word, or its objection."""
    try:
        return json.loads(json.dumps(value(word)))
    except ValueError as error:
        return {"not": str(error)}


def described(item: Key | Block, kinds: list[Any]) -> dict[str, Any]:
    """A keyword with its values, each by its place among the kinds of values."""
    out: dict[str, Any] = {"values": [kind_number(value, kinds) for value in item.value_parsers]}
    if isinstance(item, Block):
        out["keywords"] = {key.name: described(key, kinds) for key in item.keys}
    else:
        out["repeat"], out["least rest"], out["words"] = item.repeat, item.min_rest, list(item.separators)
        out["rest"] = None if item.rest_parser is None else kind_number(item.rest_parser, kinds)
    return out | {"required": item.required}


def kind_number(value: Any, kinds: list[Any]) -> int:
    """The place of a kind of values, told by what it makes of the probes."""
    made = [reading(value, word) for word in PROBES]
    if made not in kinds:
        kinds.append(made)
    return kinds.index(made)


def keywords_of_all() -> dict[str, Any]:
    """Every file's keywords, with what each kind of value makes of the probes."""
    kinds: list[Any] = []
    files = {name: {item.name: described(item, kinds) for item in schema} for name, schema in SCHEMAS.items()}
    return {"probes": PROBES, "kinds of values": kinds, "files": files}


def test_settings_files_take_the_same_keywords() -> None:
    found, wanted = keywords_of_all(), SURFACE["settings"]
    for name in wanted["files"]:
        assert found["files"][name] == wanted["files"][name], name
    assert found == wanted


# Messages


def generated() -> list[Any]:
    """The descriptors of all files of ``proto/``."""
    modules = [value for value in vars(proto).values() if isinstance(value, ModuleType)]
    return [module.DESCRIPTOR for module in modules if hasattr(module, "DESCRIPTOR")]


def message_description(message: Any) -> Iterator[tuple[str, Any]]:
    """A message and those within it: fields by name with number, type, whether repeated, and choice."""
    yield message.full_name, {field.name: field_description(field) for field in message.fields}
    for inner in message.nested_types:
        yield from message_description(inner)


def field_description(field: Any) -> list[Any]:
    """Number, type by its number or name, whether repeated, and the choice that it is part of."""
    named = field.message_type or field.enum_type
    choice = field.containing_oneof.name if field.containing_oneof else None
    return [field.number, named.full_name if named else field.type, field.is_repeated, choice]


def enums_of(scope: Any) -> Iterator[tuple[str, Any]]:
    """The enums of a file or message and of all messages within it."""
    for enum in scope.enum_types_by_name.values():
        yield enum.full_name, {value.name: value.number for value in enum.values}
    inner = getattr(scope, "message_types_by_name", None) or getattr(scope, "nested_types_by_name", {})
    for message in inner.values():
        yield from enums_of(message)


def service_description(service: Any) -> dict[str, Any]:
    """Methods with their messages and whether those are streams."""
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
    """Messages, enums and services of all files."""
    out: dict[str, Any] = {"messages": {}, "enums": {}, "services": {}}
    for file in generated():
        for message in file.message_types_by_name.values():
            out["messages"].update(message_description(message))
        out["enums"].update(enums_of(file))
        services = file.services_by_name.values()
        out["services"].update({service.full_name: service_description(service) for service in services})
    return out


def test_messages_have_the_same_fields_and_numbers() -> None:
    found, wanted = proto_surface(), SURFACE["proto"]
    assert found["messages"] == wanted["messages"]
    assert found["enums"] == wanted["enums"]
    assert found["services"] == wanted["services"]


def test_proto_files_are_the_same() -> None:
    assert proto_digests() == SURFACE["proto files"]


def proto_digests() -> dict[str, str]:
    """SHA-256 of each file."""
    files = sorted((ROOT / "proto").rglob("*.proto"))
    return {str(path.relative_to(ROOT)): sha256(path.read_bytes()).hexdigest() for path in files}


# The platform


def test_the_deployment_has_the_same_keys() -> None:
    assert deployment() == SURFACE["deployment"]


def deployment() -> dict[str, Any]:
    """The deployment file; of the lists of the program's own files the keys alone."""
    read = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))
    return {key: "paths" if key in ("policy", "node") else value for key, value in read.items()}


class Asked(dict[str, Any]):
    """A mapping that notes the keys it is asked for, those of mappings within it by their path."""

    def __init__(self, values: dict[str, Any], asked: set[str], path: str = "") -> None:
        super().__init__({key: self._within(value, asked, f"{path}{key}") for key, value in values.items()})
        self._asked, self._path = asked, path

    @classmethod
    def _within(cls, value: Any, asked: set[str], path: str) -> Any:
        if isinstance(value, dict):
            return cls(value, asked, f"{path}.")
        if isinstance(value, list):
            return [cls._within(item, asked, f"{path}.*") for item in value]
        return value

    def __getitem__(self, key: str) -> Any:
        self._asked.add(self._path + key)
        return super().__getitem__(key)

    def get(self, key: str, default: Any = None) -> Any:
        self._asked.add(self._path + key)
        return super().get(key, default)


def test_the_platform_s_file_is_asked_for_the_same_keys(monkeypatch: pytest.MonkeyPatch) -> None:
    assert file_keys(monkeypatch) == SURFACE["keys of the platform's file"]


def file_keys(monkeypatch: pytest.MonkeyPatch) -> dict[str, list[str]]:
    """The keys of the file's object and those of its settings as a text has them."""
    of_object: set[str] = set()
    of_text: set[str] = set()
    flatten = settings_text.flatten
    monkeypatch.setattr(settings_text, "flatten", lambda nested: Asked(flatten(nested), of_text))
    platform_config.parse(platform_config.ConfigFile("", Asked(PLATFORM_FILE, of_object), ""))
    return {"object": sorted(of_object), "settings": sorted(of_text)}


def test_the_simulator_s_settings_have_the_same_keys_and_needs() -> None:
    assert settings_keys() == SURFACE["keys of the simulator's settings"]


def settings_keys() -> dict[str, str]:
    """Each key that is looked up, and whether settings without it are refused."""
    text = settings_text.flatten(PLATFORM_FILE["settings"])
    asked: set[str] = set()
    settings_text.settings_from(settings_text.SettingsReader(Asked(text, asked)))
    return {key: need_of(key, text) for key in sorted(asked)}


def need_of(key: str, text: dict[str, str]) -> str:
    """Whether settings without the key are read."""
    try:
        settings_text.settings_from(
            settings_text.SettingsReader({name: value for name, value in text.items() if name != key})
        )
    except ValueError as error:
        return str(error)
    return "may be left out"


def test_the_settings_text_is_flattened_alike() -> None:
    assert settings_text.flatten(PLATFORM_FILE["settings"]) == SURFACE["settings as a text"]


WATCH_THE_ENVIRONMENT = """
import os, runpy, sys
asked = set()
class Watched(dict):
    def note(self, key):
        if sys._getframe(2).f_globals.get("__name__", "").partition(".")[0] in ("stairplank", "__main__"):
            asked.add(key)
    def __getitem__(self, key):
        self.note(key)
        return super().__getitem__(key)
    def get(self, key, default=None):
        self.note(key)
        return super().get(key, default)
    def __contains__(self, key):
        self.note(key)
        return super().__contains__(key)
os.environ = Watched(os.environ)
os.getenv = os.environ.get
try:
    runpy.run_module("stairplank.platform", run_name="__main__")
except SystemExit as end:
    print(end.code, *sorted(asked))
"""


def test_the_platform_s_planner_reads_the_same_variables() -> None:
    environment = {key: value for key, value in os.environ.items() if key != "GW_CONFIG"}
    outcome = subprocess.run(
        [sys.executable, "-c", WATCH_THE_ENVIRONMENT],
        capture_output=True,
        text=True,
        timeout=60,
        cwd=ROOT,
        env=environment | {"GW_CONFIG": "no-such-file.json"},
    )
    assert outcome.stdout.split() == SURFACE["variables of the platform's planner"]
    assert "no-such-file.json" in outcome.stderr
