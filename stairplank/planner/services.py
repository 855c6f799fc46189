"""Descriptors of the gRPC services that a planner serves or calls."""

from __future__ import annotations

from ..proto import directory_pb2, node_pb2, placement_pb2

PLACEMENT_SERVICE = placement_pb2.DESCRIPTOR.services_by_name["Placement"]
NODE_SERVICE = node_pb2.DESCRIPTOR.services_by_name["Node"]
DIRECTORY_SERVICE = directory_pb2.DESCRIPTOR.services_by_name["Directory"]
