"""Loads the plugin that reads KNOWN-RED.txt, for all test paths."""

pytest_plugins = ["tests.known_red", "pytester"]
