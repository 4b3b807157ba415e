"""A randomized fault test of the programs as the users' hosts run them.

Control members and entries run as separate processes behind loopback proxies.
Callers, targets and an operator run in the process of the soak, use only the
public interfaces, and record what they observe. The faults come from outside
the programs: signals, lost and torn data directories, and connections that are
delayed, reset or silenced. A seed determines the plan of faults::

    python -m tests.soak --seeds 1-50 --jobs 3
"""
