"""Stand-ins for the platform, workers and backend servers."""
