"""Measurements that are run by hand, not by the tests."""
