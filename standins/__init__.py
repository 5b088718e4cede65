"""Stand-ins for systems around the product: stores, workers, targets and callers."""
