"""Performance experiments on real processes over loopback; not part of the tests."""
