"""Stubs of the platform: table, targets and callers."""
