"""Tables of announced targets and of entries."""
