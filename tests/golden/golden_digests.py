"""Records all golden traces and prints their digests as JSON.

``python tests/golden/golden_digests.py`` prints all digests. With the name of a trace as argument, such as
``"grpc drawn-room 1"``, it prints the lines of that trace, for comparison with another revision's.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(Path(__file__).resolve().parent)]

import golden_decisions  # noqa: E402
import golden_grpc_days  # noqa: E402
import golden_platform_days  # noqa: E402
from golden_records import Trace  # noqa: E402

DIGESTS = Path(__file__).resolve().parent / "digests.json"


def trace_recorders() -> Iterator[tuple[str, Callable[[Trace], None]]]:
    """Yield the name of every golden trace with the function that records it."""
    for scenario, seed in golden_grpc_days.DAYS:
        yield f"grpc {scenario} {seed}", partial(golden_grpc_days.record_trace, scenario, seed)
    for settings, seed in golden_platform_days.DAYS:
        yield f"platform {settings} {seed}", partial(golden_platform_days.record_trace, settings, seed)
    for number, stream in enumerate(golden_decisions.load_streams()):
        yield f"decisions {number}", partial(golden_decisions.replay, stream)


def digest_of(name: str) -> str:
    """Record the golden trace with this name and return its digest."""
    trace = Trace()
    dict(trace_recorders())[name](trace)
    return trace.digest()


def main() -> None:
    """Print all digests, or the lines of the trace named on the command line."""
    if len(sys.argv) > 1:
        trace = Trace(keep_lines=True)
        dict(trace_recorders())[sys.argv[1]](trace)
        print("\n".join(trace.lines or ()))
        return
    digests = {}
    for name, record in trace_recorders():
        trace = Trace()
        record(trace)
        digests[name] = trace.digest()
    print(json.dumps(digests, indent=2))


if __name__ == "__main__":
    main()
