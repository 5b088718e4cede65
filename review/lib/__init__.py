"""What the scripts of the cases share: a small deployment on loopback."""
