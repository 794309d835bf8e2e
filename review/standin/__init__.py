"""Stand-ins of the platform, its runners and clients for the cases of the review."""
