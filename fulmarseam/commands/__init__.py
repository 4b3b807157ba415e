"""The command lines of the programs, one module for each."""
