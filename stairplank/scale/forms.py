"""The configuration and command of a real planner of each form, and the address it logs when it serves."""

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
    keeps_links: bool  # whether each planner keeps a connection to each worker

    def write_planner_file(
        self, folder: Path, position: int, planners: int, list_port: int, layout: Layout
    ) -> Path: ...

    def command(self, file: Path) -> tuple[Sequence[str], Mapping[str, str]]:
        """Returns the arguments for Python and the extra environment variables."""
        ...

    def address_in(self, entry: Mapping[str, Any]) -> str:
        """Returns the address at which the planner serves, or an empty text if this log entry has none."""
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
    """Returns the address at which the planner with this log serves; empty if it does not serve yet."""
    for line in log.read_bytes().splitlines():
        try:
            entry = json.loads(line)
        except ValueError:
            continue  # the planner has not finished writing this line
        address = form.address_in(entry)
        if address:
            return address
    return ""
