"""Decisions on whether a step waits for capacity near its data or its other tasks."""
