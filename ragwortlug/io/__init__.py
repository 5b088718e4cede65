"""Input and output; no other package opens sockets."""
