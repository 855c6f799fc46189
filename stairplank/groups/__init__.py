"""All-or-nothing groups: a coordinator without I/O above the decision module.

Each member is placed by the module; the coordinator decides when a group is attempted, in which order its
members are placed, when they are committed together, when an attempt is given up and what is released.
docs/design/groups.md has the states and invariants.
"""

from .config import GroupConfig
from .coordinator import Coordinator
from .spec import GroupSpec, validate

__all__ = ["Coordinator", "GroupConfig", "GroupSpec", "validate"]
