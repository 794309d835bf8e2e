"""Decides whether stopping runs for a more urgent step is worth what is lost."""
