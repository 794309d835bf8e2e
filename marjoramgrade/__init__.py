"""A cluster scheduler for mixed workloads."""
