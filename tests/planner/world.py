"""Exports the constants of ``grpc_core_harness`` under the module name that ``component_stubs`` imports."""

from grpc_core_harness import BOUNDS, SECOND, SETTINGS

__all__ = ["BOUNDS", "SECOND", "SETTINGS"]
