"""The adapter to the platform of the users' hosts.

It translates between the platform's calls, fields and headers and the
types of the product, and holds every name of the platform. It decides
nothing and keeps no state.
"""
