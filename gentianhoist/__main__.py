"""Command line interface, run as ``python -m gentianhoist``."""

from gentianhoist.cli import main

if __name__ == "__main__":
    main()
