"""All-or-nothing groups of tasks, scheduled by a coordinator that performs no I/O.

The decision module chooses a node for each member. The coordinator decides when to attempt a group, in which
order its members are placed, when they are committed together, when an attempt is abandoned and which members
are released. docs/design/groups.md has the states and invariants.
"""

from .config import GroupConfig
from .coordinator import Coordinator
from .spec import GroupSpec, validate

__all__ = ["Coordinator", "GroupConfig", "GroupSpec", "validate"]
