"""Streaming HTTP/1.1 server and client."""
