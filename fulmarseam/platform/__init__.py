"""Adapter to the platform that the users' hosts run on.

It translates between the platform's API calls, fields and headers and the
types of this project, and is the only package that contains the platform's
names. It makes no decisions and keeps no state.
"""
