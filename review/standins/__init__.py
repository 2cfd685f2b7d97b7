"""Stand-ins of the platform's store, servers and clients, and starter of entries."""
