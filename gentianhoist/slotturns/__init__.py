"""Order in which entries claim the slots that become free on full engines."""

from gentianhoist.slotturns.core import SlotTurns, is_scarce

__all__ = ["SlotTurns", "is_scarce"]
