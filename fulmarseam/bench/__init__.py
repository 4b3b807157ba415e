"""Scenarios, checker and plots."""
