"""Behaviour of the C library's allocator in a process with little memory."""

import contextlib
import ctypes

#: Option of glibc's `mallopt`: blocks from this size on are mapped alone.
_M_MMAP_THRESHOLD = -3
_THRESHOLD_BYTES = 131_072


def return_large_blocks() -> None:
    """Make the allocator return large blocks to the system when they are freed.

    By default it raises its threshold up to 32 MB as blocks are freed. Bodies
    then lie in the heap, which is copied when they grow and stays resident
    after them. Other C libraries have no such option.
    """
    with contextlib.suppress(AttributeError, OSError):
        ctypes.CDLL(None).mallopt(_M_MMAP_THRESHOLD, _THRESHOLD_BYTES)


def return_unused_memory() -> None:
    """Return the heap's free pages to the system; takes some milliseconds.

    Other C libraries have no such function.
    """
    with contextlib.suppress(AttributeError, OSError):
        ctypes.CDLL(None).malloc_trim(0)
