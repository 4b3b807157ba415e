"""Decisions on grants, targets, shifts, queues and retries."""
