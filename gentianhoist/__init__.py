"""gentianhoist: a serving layer for prompts of very unlike lengths."""

__all__ = ["__version__"]

__version__ = "0.1.0"
