"""Plays all golden days and streams and prints their digests as JSON.

Without an argument, all digests: ``python tests/golden/golden_digests.py``. With the name of a trace, its
lines, for a comparison: ``python tests/golden/golden_digests.py "grpc drawn-room 1"``.
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


def plays() -> Iterator[tuple[str, Callable[[Trace], None]]]:
    """Every golden trace by its name."""
    for scenario, seed in golden_grpc_days.DAYS:
        yield f"grpc {scenario} {seed}", partial(golden_grpc_days.play, scenario, seed)
    for settings, seed in golden_platform_days.DAYS:
        yield f"platform {settings} {seed}", partial(golden_platform_days.play, settings, seed)
    for number, stream in enumerate(golden_decisions.load_streams()):
        yield f"decisions {number}", partial(golden_decisions.replay, stream)


def digest_of(name: str) -> str:
    """The digest of one golden trace."""
    trace = Trace()
    dict(plays())[name](trace)
    return trace.digest()


def main() -> None:
    """Print the digests, or one trace."""
    if len(sys.argv) > 1:
        trace = Trace(keep_lines=True)
        dict(plays())[sys.argv[1]](trace)
        print("\n".join(trace.lines or ()))
        return
    digests = {}
    for name, play in plays():
        trace = Trace()
        play(trace)
        digests[name] = trace.digest()
    print(json.dumps(digests, indent=2))


if __name__ == "__main__":
    main()
