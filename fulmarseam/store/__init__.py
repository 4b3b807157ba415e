"""The replicated tables as a pure state machine."""
