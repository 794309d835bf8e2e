"""A randomized fault soak of the real programs."""
