"""A global traffic steering system."""

__version__ = '0.1.0'
