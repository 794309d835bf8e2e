"""Stand-ins of clients, runners and the platform for the scripted review cases."""
