"""A soak of the real programs as processes, with faults injected from outside.

``python -m tests.faults --seed 1`` plays one seed. The stand-ins for the store, the
workers and the callers live in the soak's own process, and the promises are checked
by what these see.
"""
