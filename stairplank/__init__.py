"""A cluster scheduler whose planners run in parallel and share no state."""

from .decisions import Planner
from .interface import Settings

__all__ = ["Planner", "Settings"]
