"""Generated code for the services in ``proto/``: ``stairplank.v1`` and the standard gRPC services.

``scripts/generate_proto.py`` generates the ``*_pb2`` modules; a test generates them again and compares.
"""

from . import (
    common_pb2,
    configuration_pb2,
    directory_pb2,
    health_pb2,
    node_pb2,
    placement_pb2,
    reflection_pb2,
)
from .services import method_path, open_call, server_methods

__all__ = [
    "common_pb2",
    "configuration_pb2",
    "directory_pb2",
    "health_pb2",
    "method_path",
    "node_pb2",
    "open_call",
    "placement_pb2",
    "reflection_pb2",
    "server_methods",
]
