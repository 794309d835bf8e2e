"""Measurements of the decision code against the targets of the design page."""
