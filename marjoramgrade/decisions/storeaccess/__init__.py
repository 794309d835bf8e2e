"""Decides how calls that the store refuses are repeated."""
