"""Tests of fulmarseam."""
