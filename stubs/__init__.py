"""Stand-ins for what the platform gives: table, targets, callers."""
