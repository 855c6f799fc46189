"""Generates stairplank/proto/*_pb2.py and .pyi from proto/. Needs the dev extra (grpcio-tools).

python scripts/generate_proto.py [OUT]   (OUT: stairplank/proto)
"""

from __future__ import annotations

import re
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SOURCES = ROOT / "proto"


def main(out: Path) -> int:
    from grpc_tools import protoc

    files = sorted(str(p.relative_to(SOURCES)) for p in SOURCES.rglob("*.proto"))
    with tempfile.TemporaryDirectory() as work:
        code = protoc.main(["protoc", f"-I{SOURCES}", f"--python_out={work}", f"--pyi_out={work}", *files])
        if code:
            return int(code)
        for made in sorted(Path(work).rglob("*_pb2.py*")):
            text = made.read_text()
            # protoc writes imports by the path of the .proto file; here all modules lie in one package.
            text = re.sub(r"^from [a-z.0-9]+ import (\w+_pb2)", r"from . import \1", text, flags=re.M)
            text = re.sub(
                r"^(\s*)from stairplank\.v1\.(\w+_pb2) import", r"\1from .\2 import", text, flags=re.M
            )
            (out / made.name).write_text(text)
    return 0


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1]) if len(sys.argv) > 1 else ROOT / "stairplank" / "proto"))
