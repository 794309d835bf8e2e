"""Decides which new jobs are accepted."""
