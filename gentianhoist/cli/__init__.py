"""The ``gentianhoist`` command line."""

from gentianhoist.cli.core import Gentianhoist, main

__all__ = ["Gentianhoist", "main"]
