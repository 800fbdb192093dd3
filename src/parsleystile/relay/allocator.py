"""Settings of the C library's allocator for large blocks.

The load that it answers: many large bodies beside small calls. By default the
allocator keeps freed blocks of up to 32 MiB and places small ones between
them, so that the process holds far more than it uses.
"""

import ctypes

# Options of mallopt(3).
_TRIM_THRESHOLD = -1
_MMAP_THRESHOLD = -3
# Blocks from this size on are returned to the system when they are freed.
_LARGE_BLOCK_BYTES = 131_072
# Free memory at the end of the heap that is kept; without it small calls
# would grow and shrink the heap.
_KEPT_BYTES = 4 * 1_048_576


def return_large_blocks() -> bool:
    """Return large blocks when they are freed; False if not supported."""
    library = ctypes.CDLL(None)
    if not hasattr(library, 'mallopt'):
        # A C library other than glibc.
        return False
    options = {
        _MMAP_THRESHOLD: _LARGE_BLOCK_BYTES,
        _TRIM_THRESHOLD: _KEPT_BYTES,
    }
    return all(library.mallopt(*option) for option in options.items())
