"""The lean path of a call between nodes that each guard one target.

It serves platforms whose targets declare their slots and whose store says
who the members are. Decisions (``pacing``, ``shares``, ``repeats``,
``roster``) are pure; ``httpserver``, ``httpclient``, ``gate``, ``sender``,
``front`` and ``spread`` are the shells around them.
"""
