"""Addresses for tests."""

from fulmarseam.bench import _ports

find_free_address = _ports.find_free_address
