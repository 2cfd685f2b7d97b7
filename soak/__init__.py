"""Randomized fault injection into real entry processes, with invariant checks."""
