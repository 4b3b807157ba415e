"""Tests with real processes behind the fault proxy."""
