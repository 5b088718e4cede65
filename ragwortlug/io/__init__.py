"""I/O: the only package that holds sockets."""
