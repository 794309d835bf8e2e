"""Decides who may take the lead and when, by the number of instances."""
