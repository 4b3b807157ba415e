"""Stand-in target, load generator and fault proxy."""
