"""Small stand-ins for what lies outside: the store, targets and callers."""
