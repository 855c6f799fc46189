"""Generates the modules stairplank/proto/*_pb2.py and their .pyi stubs from the .proto files in proto/.

    python scripts/generate_proto.py [OUT]

OUT is the output folder, by default stairplank/proto. The dev extra (grpcio-tools) has to be installed.
"""

from __future__ import annotations

import re
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SOURCES = ROOT / "proto"


def main(out: Path) -> int:
    """Run protoc and write the generated modules to ``out``. Returns the exit code of protoc."""
    from grpc_tools import protoc

    files = sorted(str(p.relative_to(SOURCES)) for p in SOURCES.rglob("*.proto"))
    with tempfile.TemporaryDirectory() as folder:
        exit_code = protoc.main(
            ["protoc", f"-I{SOURCES}", f"--python_out={folder}", f"--pyi_out={folder}", *files]
        )
        if exit_code:
            return int(exit_code)
        for module in sorted(Path(folder).rglob("*_pb2.py*")):
            text = module.read_text()
            # protoc derives absolute imports from the path of each .proto file. All generated modules are in
            # one package, so their imports are rewritten as relative ones.
            text = re.sub(r"^from [a-z.0-9]+ import (\w+_pb2)", r"from . import \1", text, flags=re.M)
            text = re.sub(
                r"^(\s*)from stairplank\.v1\.(\w+_pb2) import", r"\1from .\2 import", text, flags=re.M
            )
            (out / module.name).write_text(text)
    return 0


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1]) if len(sys.argv) > 1 else ROOT / "stairplank" / "proto"))
