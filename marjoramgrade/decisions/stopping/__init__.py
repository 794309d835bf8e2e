"""Until when requests may begin and wait while a process stops."""
