"""Stand-ins of the platform, its clients and its servers, for the cases."""
