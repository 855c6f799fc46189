"""The standard health and reflection services (grpc.health.v1, grpc.reflection.v1)."""

from __future__ import annotations

from typing import Any

from gevent.event import Event
from google.protobuf import descriptor_pool

from ..rpc.server_call import Method, ServerCall
from ..rpc.status import Code, RpcError
from . import health_pb2, reflection_pb2, server_methods

Status = health_pb2.HealthCheckResponse


class Health:
    """Serving state by service name; the empty name is the whole server."""

    def __init__(self, services: tuple[str, ...] = ()) -> None:
        """Every service starts as SERVING."""
        self._serving = dict.fromkeys(("", *services), True)
        self._changed = Event()

    def set(self, serving: bool) -> None:
        """Change the state of every service and tell those who watch."""
        self._serving = dict.fromkeys(self._serving, serving)
        self._changed.set()
        self._changed = Event()

    def methods(self) -> dict[str, Method]:
        """The methods of grpc.health.v1.Health, for a server."""
        service = health_pb2.DESCRIPTOR.services_by_name["Health"]
        return server_methods(service, Check=self._check, Watch=self._watch)

    def _state(self, name: str) -> Any:
        if name not in self._serving:
            return Status.SERVICE_UNKNOWN
        return Status.SERVING if self._serving[name] else Status.NOT_SERVING

    def _check(self, request: Any, call: ServerCall) -> Any:  # noqa: ARG002 - the signature of a handler
        if request.service not in self._serving:
            raise RpcError(Code.NOT_FOUND, f"no service {request.service[:200]}")
        return Status(status=self._state(request.service))

    def _watch(self, request: Any, call: ServerCall) -> None:
        while True:
            changed = self._changed
            call.send(Status(status=self._state(request.service)))
            changed.wait()


class Reflection:
    """Gives clients the descriptors of the services, so that generic tools can call them."""

    def __init__(self, services: tuple[str, ...]) -> None:
        """``services`` are full names, as listed to clients."""
        self._services = services
        self._pool = descriptor_pool.Default()

    def methods(self) -> dict[str, Method]:
        """The methods of grpc.reflection.v1.ServerReflection, for a server."""
        service = reflection_pb2.DESCRIPTOR.services_by_name["ServerReflection"]
        return server_methods(service, ServerReflectionInfo=self._info)

    def _info(self, call: ServerCall) -> None:
        while (request := call.recv()) is not None:
            call.send(self._answer(request))

    def _answer(self, request: Any) -> Any:
        response = reflection_pb2.ServerReflectionResponse(valid_host=request.host, original_request=request)
        match request.WhichOneof("message_request"):
            case "list_services":
                for name in self._services:
                    response.list_services_response.service.add(name=name)
            case "file_by_filename":
                self._file(response, self._pool.FindFileByName, request.file_by_filename)
            case "file_containing_symbol":
                self._file(response, self._pool.FindFileContainingSymbol, request.file_containing_symbol)
            case _:
                self._error(response, Code.UNIMPLEMENTED, "extensions are not used here")
        return response

    def _file(self, response: Any, find: Any, name: str) -> None:
        try:
            found = find(name)
        except KeyError:
            self._error(response, Code.NOT_FOUND, f"{name[:200]} is not known")
            return
        files: dict[str, bytes] = {}
        unvisited = [found]
        while unvisited:
            file = unvisited.pop()
            if file.name not in files:
                files[file.name] = file.serialized_pb
                unvisited += file.dependencies
        response.file_descriptor_response.file_descriptor_proto.extend(files.values())

    @staticmethod
    def _error(response: Any, code: Code, text: str) -> None:
        response.error_response.error_code = int(code)
        response.error_response.error_message = text
