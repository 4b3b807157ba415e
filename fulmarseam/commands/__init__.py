"""Command line interfaces, one module for each program."""
