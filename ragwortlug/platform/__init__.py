"""Adapter between the product and the users' platform; it only translates.

No module outside this package depends on the platform's names and formats.
``wire`` decodes its messages and ``settings`` its settings file; ``store``,
``worker`` and ``callers`` communicate with its store, workers and clients.
"""
