"""The decisions of a cluster scheduler of which many planners run side by side, sharing nothing."""

from .decisions import Planner
from .interface import Settings

__all__ = ["Planner", "Settings"]
