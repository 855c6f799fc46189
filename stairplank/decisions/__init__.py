"""The decisions of one planner: where each task goes, when it is retried, and when it is shed.

``interface.py``, beside this package, has the events that a planner is fed and the actions it returns.
``planner.py`` routes the events; each other module owns one decision and the state that it rests on:

* ``threshold``, ``partition``, ``load``, ``selection``: which node a task is offered to;
* ``slow_start``, ``spread``, ``outlier_ejection``: what forbids a node for a time;
* ``node_state``, ``node_table``, ``list_delay``: what is known of the nodes, and how old it is;
* ``health_checks``, ``outcomes``: what an answer, or its absence, says about a node;
* ``retry``, ``attempts``, ``task_queue``: what becomes of a task that is owed an answer.

``docs/design.md`` says what comes from the paper, what departs from it and when each departure acts.
"""

from .planner import Planner

__all__ = ["Planner"]
