"""Decides how often the leader lists the runs of a worker."""
