"""At-most-once records of requests."""
