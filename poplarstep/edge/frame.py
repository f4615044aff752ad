r"""Frames with a checksum, and synced writes.

Explanation
===========

A frame consists of a length (4 bytes), an xxhash64 (8 bytes), both
little-endian, and the body, which is an encoded record. The hash covers the
length and the body. Its seed is the frame's offset in the file, so that
bytes of a body that look like a frame do not pass as a frame.
"""

import os
import struct

import xxhash

HEADER = struct.Struct('<IQ')
TEMPORARY_SUFFIX = '.tmp'


class CorruptionError(Exception):
    r"""A file of the data folder is damaged or inconsistent."""


def make(body, offset):
    r"""Return the frame of a body at an offset of a file.

    Examples
    ========

    >>> read(make(b'record', 0), 0)
    (b'record', 18)
    >>> read(make(b'record', 0)[:-1], 0)
    (None, 0)

    """
    length = struct.pack('<I', len(body))
    return HEADER.pack(
        len(body), xxhash.xxh64_intdigest(length + body, seed=offset)) + body


def read(data, offset):
    r"""Return the body and the end of a frame, or ``(None, offset)``."""
    start = offset + HEADER.size
    if start > len(data):
        return None, offset
    length, checksum = HEADER.unpack_from(data, offset)
    end = start + length
    if end > len(data):
        return None, offset
    body = data[start:end]
    if xxhash.xxh64_intdigest(
            data[offset:offset + 4] + body, seed=offset) != checksum:
        return None, offset
    return body, end


def has_intact_frame_after(data, offset):
    r"""Return whether an intact frame starts anywhere after an offset."""
    return any(
        read(data, start)[0] is not None
        for start in range(offset + 1, len(data) - HEADER.size))


def sync_folder(folder):
    r"""Make created, renamed and removed files of a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_all(descriptor, data):
    r"""Write all bytes, also when the kernel accepts only a part."""
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view):]


def replace_file(folder, name, bodies):
    r"""Replace a file atomically by frames with the given bodies.

    Call ``sync_folder`` afterwards to make the new name durable.
    """
    path = os.path.join(folder, name)
    temporary = path + TEMPORARY_SUFFIX
    descriptor = os.open(
        temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        offset = 0
        for body in bodies:
            framed = make(body, offset)
            write_all(descriptor, framed)
            offset += len(framed)
        os.fsync(descriptor)
    except OSError:
        os.unlink(temporary)
        raise
    finally:
        os.close(descriptor)
    os.replace(temporary, path)
