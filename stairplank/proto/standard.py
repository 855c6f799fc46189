"""Implements the standard health and reflection services (grpc.health.v1, grpc.reflection.v1)."""

from __future__ import annotations

from typing import Any

from gevent.event import Event
from google.protobuf import descriptor_pool

from ..rpc.server_call import Method, ServerCall
from ..rpc.status import Code, RpcError
from . import health_pb2, reflection_pb2, server_methods

Status = health_pb2.HealthCheckResponse


class Health:
    """Serves the health state of each service by name; the empty name stands for the whole server."""

    def __init__(self, services: tuple[str, ...] = ()) -> None:
        """Set every service to SERVING."""
        self._serving = dict.fromkeys(("", *services), True)
        self._changed = Event()

    def set(self, serving: bool) -> None:
        """Set the state of every service and notify the clients that watch it."""
        self._serving = dict.fromkeys(self._serving, serving)
        self._changed.set()
        self._changed = Event()

    def methods(self) -> dict[str, Method]:
        """Return the methods of grpc.health.v1.Health, for a server."""
        service = health_pb2.DESCRIPTOR.services_by_name["Health"]
        return server_methods(service, Check=self._check, Watch=self._watch)

    def _status(self, name: str) -> Any:
        if name not in self._serving:
            return Status.SERVICE_UNKNOWN
        return Status.SERVING if self._serving[name] else Status.NOT_SERVING

    def _check(self, request: Any, call: ServerCall) -> Any:  # noqa: ARG002 - every handler takes the call
        if request.service not in self._serving:
            raise RpcError(Code.NOT_FOUND, f"no service {request.service[:200]}")
        return Status(status=self._status(request.service))

    def _watch(self, request: Any, call: ServerCall) -> None:
        while True:
            changed = self._changed
            call.send(Status(status=self._status(request.service)))
            changed.wait()


class Reflection:
    """Serves the service descriptors, so that generic clients such as grpcurl can call the services."""

    def __init__(self, services: tuple[str, ...]) -> None:
        """Take the full names of the services to list to clients."""
        self._services = services
        self._pool = descriptor_pool.Default()

    def methods(self) -> dict[str, Method]:
        """Return the methods of grpc.reflection.v1.ServerReflection, for a server."""
        service = reflection_pb2.DESCRIPTOR.services_by_name["ServerReflection"]
        return server_methods(service, ServerReflectionInfo=self._serve_info)

    def _serve_info(self, call: ServerCall) -> None:
        while (request := call.recv()) is not None:
            call.send(self._response_to(request))

    def _response_to(self, request: Any) -> Any:
        response = reflection_pb2.ServerReflectionResponse(valid_host=request.host, original_request=request)
        match request.WhichOneof("message_request"):
            case "list_services":
                for name in self._services:
                    response.list_services_response.service.add(name=name)
            case "file_by_filename":
                self._add_files(response, self._pool.FindFileByName, request.file_by_filename)
            case "file_containing_symbol":
                self._add_files(response, self._pool.FindFileContainingSymbol, request.file_containing_symbol)
            case _:
                self._set_error(response, Code.UNIMPLEMENTED, "extensions are not used here")
        return response

    def _add_files(self, response: Any, find: Any, name: str) -> None:
        try:
            requested = find(name)
        except KeyError:
            self._set_error(response, Code.NOT_FOUND, f"{name[:200]} is not known")
            return
        files: dict[str, bytes] = {}
        unvisited = [requested]
        while unvisited:
            file = unvisited.pop()
            if file.name not in files:
                files[file.name] = file.serialized_pb
                unvisited += file.dependencies
        response.file_descriptor_response.file_descriptor_proto.extend(files.values())

    @staticmethod
    def _set_error(response: Any, code: Code, text: str) -> None:
        response.error_response.error_code = int(code)
        response.error_response.error_message = text
