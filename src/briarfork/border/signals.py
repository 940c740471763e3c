"""The signals of a process, from the first line of its program to its exit.

No signal other than SIGKILL ends a process by itself. A handler of the event loop is not enough for
that: there is none before the loop runs, and the loop restores the default action when it closes.
Blocking a signal is not enough either, because it concerns one thread, and the threads that the
event loop starts for lookups of addresses take the signal instead.

This module imports little, so that a program can own its signals before its slow imports.
"""

from __future__ import annotations

import signal

# Type checkers know this name. The import of `typing` would double the time in which a signal still
# has its default action.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from asyncio import AbstractEventLoop
    from collections.abc import Callable
    from types import FrameType
    from types import TracebackType

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP
# Signals that mean nothing to a program and whose default action would end it. Left out are those
# of faults, after which a process cannot go on, and real-time signals, which runtimes use. Python
# itself ignores SIGPIPE and SIGXFSZ.
IGNORED_SIGNALS = (
    signal.SIGQUIT,
    signal.SIGUSR1,
    signal.SIGUSR2,
    signal.SIGALRM,
    signal.SIGVTALRM,
    signal.SIGPROF,
    signal.SIGIO,
    signal.SIGPWR,
    signal.SIGXCPU,
)


class ProcessSignals:
    """Owns the signals of a process; a context manager that is entered once per process.

    A stop or a reload that is requested before the event loop runs is kept until it is delivered.

    Attributes:
        stop_requested: Whether a signal has requested a planned stop.
    """

    def __init__(self) -> None:
        self.stop_requested = False
        self._reload_requested = False
        self._loop: AbstractEventLoop | None = None
        self._on_stop: Callable[[], None] | None = None
        self._on_reload: Callable[[], None] | None = None
        self._is_delivery_due = False

    def __enter__(self) -> ProcessSignals:
        signal.signal(RELOAD_SIGNAL, self._handle)
        for number in STOP_SIGNALS:
            signal.signal(number, self._handle)
        for number in IGNORED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Ignores all signals; the interpreter would restore the default action of a handler."""
        for number in (RELOAD_SIGNAL, *STOP_SIGNALS):
            signal.signal(number, signal.SIG_IGN)

    def attach(
        self,
        loop: AbstractEventLoop,
        on_stop: Callable[[], None],
        on_reload: Callable[[], None],
    ) -> None:
        """Delivers requests to the callbacks in the event loop, also those that came before.

        Args:
            loop: The event loop, which must not close before `detach` is called.
            on_stop: Called once a stop is requested, possibly several times.
            on_reload: Called for reload requests; several at a time count as one.
        """
        self._on_stop, self._on_reload = on_stop, on_reload
        self._loop = loop
        self._schedule_delivery()

    def detach(self) -> None:
        """Ends the delivery; later requests are only noted."""
        self._loop = None

    def _handle(self, number: int, frame: FrameType | None) -> None:
        """Notes a request; runs between any two instructions, so the callbacks run later."""
        if number == RELOAD_SIGNAL:
            self._reload_requested = True
        else:
            self.stop_requested = True
        self._schedule_delivery()

    def _schedule_delivery(self) -> None:
        if self._loop is not None and not self._is_delivery_due:
            self._is_delivery_due = True
            self._loop.call_soon_threadsafe(self._deliver)

    def _deliver(self) -> None:
        self._is_delivery_due = False
        if self._loop is None:
            return
        assert self._on_stop is not None
        assert self._on_reload is not None
        if self._reload_requested:
            self._reload_requested = False
            self._on_reload()
        if self.stop_requested:
            self._on_stop()
