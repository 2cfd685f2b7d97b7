"""Experiments on real processes over loopback, apart from the tests."""
