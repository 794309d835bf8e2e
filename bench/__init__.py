"""Measurements against the targets of the design page."""
