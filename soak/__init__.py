"""Randomized faults around real entry processes, and the promises that must hold."""
