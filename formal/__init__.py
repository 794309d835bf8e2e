"""The specification of the core protocol, checked with z3."""
