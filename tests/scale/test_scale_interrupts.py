"""Tests that a signal interrupts a run, but never inside a deferred section."""

from __future__ import annotations

import os
import signal

import pytest

from stairplank.scale.interrupts import Interrupted, deferred, signals_raise


def interrupt() -> None:
    os.kill(os.getpid(), signal.SIGTERM)


def test_a_signal_raises() -> None:
    with pytest.raises(Interrupted, match="SIGTERM"), signals_raise():
        interrupt()
        raise AssertionError("the signal did not raise")


def test_a_deferred_signal_raises_after_the_outermost_section() -> None:
    done = []
    with pytest.raises(Interrupted), signals_raise():
        with deferred():
            with deferred():
                interrupt()
                done.append("inner")
            done.append("outer")
        done.append("after")
    assert done == ["inner", "outer"]


def test_further_signals_do_not_interrupt_the_cleanup() -> None:
    done = []
    with pytest.raises(Interrupted), signals_raise():
        try:
            interrupt()
        finally:
            interrupt()
            done.append("ended")
    assert done == ["ended"]


def test_signal_handlers_are_restored() -> None:
    before = signal.getsignal(signal.SIGTERM)
    with signals_raise():
        assert signal.getsignal(signal.SIGTERM) is not before
    assert signal.getsignal(signal.SIGTERM) is before


def test_without_a_signal_nothing_is_raised() -> None:
    with signals_raise(), deferred():
        pass
