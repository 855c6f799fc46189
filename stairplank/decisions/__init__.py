"""The decisions of one planner: where each task goes, when it is retried, and when it is shed.

``interface.py``, beside this package, defines the events that a planner takes and the actions it returns.
``planner.py`` routes the events; each other module owns one decision and the state that it needs:

* ``threshold``, ``partition``, ``load``, ``selection``: which node a task is offered to;
* ``slow_start``, ``spread``, ``outlier_ejection``: what temporarily excludes a node from selection;
* ``node_state``, ``node_table``, ``list_delay``: what is known of the nodes, and how old it is;
* ``health_checks``, ``outcomes``: how an answer, or a missing answer, changes a node's health;
* ``retry``, ``attempts``, ``task_queue``: how a task that has no answer yet is retried, queued or rejected.

``docs/design.md`` lists which rules follow the paper, which differ from it and when each difference applies.
"""

from .planner import Planner

__all__ = ["Planner"]
