"""Messages between actors; adapters translate some of them for other processes."""
