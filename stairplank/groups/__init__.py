"""All-or-nothing groups: a coordinator without I/O above the decision module.

Each member is placed by the module; the coordinator decides when a group is tried, in which order its members
go, when they are let run together, when a try is given up and what is released. docs/design/groups.md has the
states and invariants.
"""

from .coordinator import Coordinator, GroupConfig
from .spec import GroupProblem, GroupSpec, validate

__all__ = ["Coordinator", "GroupConfig", "GroupProblem", "GroupSpec", "validate"]
