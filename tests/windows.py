"""Sliding windows over times."""


def most_in_window(times_ms, since_ms, window_ms):
    """Return the most of some ascending times in any window.

    Args:
        times_ms: The times.
        since_ms: Earlier ones do not count.
        window_ms: Length of a window, its end excluded.
    """
    counted = [at_ms for at_ms in times_ms if at_ms >= since_ms]
    most = first = 0
    for i, at_ms in enumerate(counted):
        while at_ms - counted[first] >= window_ms:
            first += 1
        most = max(most, i - first + 1)
    return most
