"""A hash that is the same at every planner: splitmix64."""

from __future__ import annotations

INCREMENT = 0x9E3779B97F4A7C15
MULTIPLIER_1 = 0xBF58476D1CE4E5B9
MULTIPLIER_2 = 0x94D049BB133111EB
MASK = 0xFFFFFFFFFFFFFFFF  # 64 bits


def splitmix64(value: int) -> int:
    """A well spread 64-bit number from any integer, the same at every planner."""
    value = (value + INCREMENT) & MASK
    value = ((value ^ (value >> 30)) * MULTIPLIER_1) & MASK
    value = ((value ^ (value >> 27)) * MULTIPLIER_2) & MASK
    return value ^ (value >> 31)
