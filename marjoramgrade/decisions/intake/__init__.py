"""Bounds on what connections from outside may use of one process."""
