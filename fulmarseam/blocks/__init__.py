"""The table of caller address blocks."""
