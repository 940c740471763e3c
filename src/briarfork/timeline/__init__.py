"""The timeline of accepted changes."""

from briarfork.timeline.change import Change
from briarfork.timeline.timeline import WITHDRAWAL_MARGIN_S
from briarfork.timeline.timeline import Appended
from briarfork.timeline.timeline import Timeline

__all__ = ["WITHDRAWAL_MARGIN_S", "Appended", "Change", "Timeline"]
