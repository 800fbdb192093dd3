"""Measurements: ``python -m bench`` prints one JSON object a line."""
