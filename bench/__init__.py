"""Benchmarks and experiments on one machine, with small stand-ins on loopback."""
