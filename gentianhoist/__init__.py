"""Serving layer for LLM inference whose prompts differ widely in length."""

__all__ = ["__version__"]

__version__ = "0.1.0"
