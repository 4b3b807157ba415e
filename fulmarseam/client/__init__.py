"""Helpers for callers and targets to embed."""
