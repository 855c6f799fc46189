"""The splitmix64 hash, which gives the same value in every planner process."""

from __future__ import annotations

INCREMENT = 0x9E3779B97F4A7C15
MULTIPLIER_1 = 0xBF58476D1CE4E5B9
MULTIPLIER_2 = 0x94D049BB133111EB
MASK = 0xFFFFFFFFFFFFFFFF  # keeps results to 64 bits


def splitmix64(value: int) -> int:
    """Hash an integer to a uniformly distributed 64-bit number, the same in every planner."""
    value = (value + INCREMENT) & MASK
    value = ((value ^ (value >> 30)) * MULTIPLIER_1) & MASK
    value = ((value ^ (value >> 27)) * MULTIPLIER_2) & MASK
    return value ^ (value >> 31)
