"""``python -m soak``: the same as ``gentianhoist soak``."""

import sys

import cappa

from gentianhoist.cli._soak import SoakCommand

if __name__ == "__main__":
    sys.exit(cappa.invoke(SoakCommand))
