"""Learns how fast workers run tasks."""
