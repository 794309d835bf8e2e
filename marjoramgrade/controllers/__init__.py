"""Controllers: actors that each own one kind of state."""
