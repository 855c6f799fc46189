"""What a real planner of each form is started with, and where it says that it serves."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, Protocol

from . import grpc_files, platform_files
from .plan import GRPC, PLATFORM, Layout


class Form(Protocol):
    """One form of the planner."""

    name: str
    keeps_links: bool  # each planner keeps a connection to each worker

    def write_planner_file(
        self, folder: Path, position: int, planners: int, list_port: int, layout: Layout
    ) -> Path: ...

    def command(self, file: Path) -> tuple[Sequence[str], Mapping[str, str]]:
        """Arguments of Python, and the environment beside one's own."""
        ...

    def address_in(self, entry: Mapping[str, Any]) -> str:
        """Where it serves, if this line of its log says so."""
        ...


class PlatformForm:
    name = PLATFORM
    keeps_links = False

    def write_planner_file(
        self, folder: Path, position: int, planners: int, list_port: int, layout: Layout
    ) -> Path:
        config = platform_files.planner_config(
            position, planners, list_port, layout.zones, layout.descriptors
        )
        return platform_files.write_planner_file(folder, config)

    def command(self, file: Path) -> tuple[Sequence[str], Mapping[str, str]]:
        return ["-m", "stairplank.platform"], {"GW_CONFIG": str(file)}

    def address_in(self, entry: Mapping[str, Any]) -> str:
        return str(entry["listen"]) if entry.get("event") == "serves" else ""


class GrpcForm:
    name = GRPC
    keeps_links = True

    def write_planner_file(
        self, folder: Path, position: int, planners: int, list_port: int, layout: Layout
    ) -> Path:
        site = grpc_files.site_text(layout.zones)
        return grpc_files.write_planner_file(folder, position, planners, list_port, site)

    def command(self, file: Path) -> tuple[Sequence[str], Mapping[str, str]]:
        return ["-m", "stairplank", "--log-format", "json", "planner", str(file)], {}

    def address_in(self, entry: Mapping[str, Any]) -> str:
        return str(entry["listen"][0]) if entry.get("event") == "planner starts" else ""


FORMS: Mapping[str, Form] = {PLATFORM: PlatformForm(), GRPC: GrpcForm()}


def served_at(form: Form, log: Path) -> str:
    """The address at which the planner with this log serves, or nothing yet."""
    for line in log.read_bytes().splitlines():
        try:
            entry = json.loads(line)
        except ValueError:
            continue  # not written whole yet
        address = form.address_in(entry)
        if address:
            return address
    return ""
