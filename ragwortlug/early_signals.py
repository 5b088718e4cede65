"""Signals that arrive before a program's event loop can handle them.

This module imports nothing slow, so that a program can call it before its own imports.
"""

import signal

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP


def hold_signals():
    """Record the signals to stop and to reload from now on instead of ending.

    Returns
    -------
    list of int
        The signals received so far; it grows until other handlers are installed.
    """
    received = []
    for number in (*STOP_SIGNALS, RELOAD_SIGNAL):
        signal.signal(number, lambda number, _: received.append(number))
    return received
