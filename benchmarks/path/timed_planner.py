"""A planner whose time in module and core is measured; prints the sums at its end.

python timed_planner.py FILE
"""

from __future__ import annotations

import json
import logging
import resource
import sys
import time
from typing import Any

import structlog

from stairplank.cli.processes import end_with_stdin
from stairplank.planner.daemon import Daemon
from stairplank.settings import load_planner


def main() -> None:
    structlog.configure(
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),  # as the command does by default
        cache_logger_on_first_use=True,
    )
    end_with_stdin()
    daemon = Daemon(load_planner(sys.argv[1]))
    handle = daemon.core.module.handle
    spent = [0]

    def timed(now: int, event: Any) -> Any:
        began = time.perf_counter_ns()
        out = handle(now, event)
        spent[0] += time.perf_counter_ns() - began
        return out

    daemon.core.module.handle = timed  # type: ignore[method-assign]
    code = daemon.run()
    used = resource.getrusage(resource.RUSAGE_SELF)
    cpu = used.ru_utime + used.ru_stime
    counts = daemon.core.counts
    print(
        json.dumps(
            {
                "cpu_s": cpu,
                "module_s": spent[0] / 1e9,
                "core_s": (daemon.core_ns - spent[0]) / 1e9,
                "placed": counts.get("placed", 0),
                "probes": counts.get("probes", 0),
            }
        )
    )
    sys.exit(code)


if __name__ == "__main__":
    main()
