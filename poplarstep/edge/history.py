r"""History file: one sample per line, as a JSON object.

Explanation
===========

A crash can leave an incomplete last line. Reading skips lines that do not
hold a valid sample and counts them; appending first ends an incomplete line
with a line feed, so that it does not corrupt the next sample. One process
writes a history at a time.
"""

import os
import typing

import msgspec
from returns import result

from poplarstep.core import record
from poplarstep.reports import sample

# Derived from the annotations of Sample, so that the types in a line are
# checked as in a message.
SampleLine = msgspec.defstruct(
    'SampleLine', [
        (name, hint, sample.Sample.__init__.__defaults__[0])
        if name == 'kind' else (name, hint)
        for name, hint in typing.get_type_hints(
            sample.Sample.__init__).items()])

DECODER = msgspec.json.Decoder(SampleLine)


class History(record.Record):
    r"""Samples of a file and counts of the lines that were skipped.

    ``torn_lines`` is 1 if the last line has no line feed and does not hold
    a sample; ``malformed_lines`` counts the other lines without a sample.
    """

    __slots__ = ('samples', 'torn_lines', 'malformed_lines')

    def __init__(self, samples: tuple, torn_lines: int, malformed_lines: int):
        self.samples = samples
        self.torn_lines = torn_lines
        self.malformed_lines = malformed_lines


def encode(samples):
    r"""Return samples as JSON lines.

    Examples
    ========

    >>> encode([sample.Sample('gs-a-1', 'certs', 5, 2, 1, 'latency')])[:40]
    b'{"node":"gs-a-1","service":"certs","time'

    """
    return b''.join(
        msgspec.json.encode(SampleLine(*entry.values())) + b'\n'
        for entry in samples)


def decode_line(line):
    r"""Decode one line; return ``Success(Sample)`` or ``Failure(message)``.

    Examples
    ========

    >>> decode_line(b'{"node":"gs-a-1"}').failure()
    'Object missing required field `service`'

    """
    try:
        decoded = DECODER.decode(line)
    except (msgspec.DecodeError, RecursionError, ValueError) as error:
        return result.Failure(str(error))
    return sample.check(sample.Sample(*(
        getattr(decoded, name)
        for name in record.field_names(sample.Sample))))


def decode(data):
    r"""Return the ``History`` in the bytes of a file.

    Examples
    ========

    >>> found = decode(encode([sample.Sample('a', 'certs', 5, 2, 1)]) * 2
    ...                + b'{"node":"a","ser')
    >>> len(found.samples), found.torn_lines, found.malformed_lines
    (2, 1, 0)

    """
    samples = []
    torn = malformed = 0
    lines = data.split(b'\n')
    for position, line in enumerate(lines):
        if not line:
            continue
        outcome = decode_line(line)
        if isinstance(outcome, result.Success):
            samples.append(outcome.unwrap())
        elif position == len(lines) - 1:
            torn += 1
        else:
            malformed += 1
    return History(tuple(samples), torn, malformed)


def read(path):
    r"""Read a history file; a file that does not exist is empty.

    Returns
    =======

    returns.result.Result
        ``Success(History)`` or ``Failure`` with a message that names the
        file.
    """
    try:
        with open(path, 'rb') as file:
            return result.Success(decode(file.read()))
    except FileNotFoundError:
        return result.Success(History((), 0, 0))
    except OSError as error:
        return result.Failure('history %s cannot be read: %s' % (path, error))


def append(path, samples):
    r"""Append samples and sync the file, and its folder if it is new.

    Returns
    =======

    returns.result.Result
        ``Success(bytes appended)`` or ``Failure`` with a message that names
        the file. After a failure a part of the samples may be in the file.
    """
    data = encode(samples)
    try:
        created = not os.path.exists(path)
        with open(path, 'a+b') as file:
            if file.seek(0, os.SEEK_END):
                file.seek(-1, os.SEEK_END)
                if file.read(1) != b'\n':
                    data = b'\n' + data
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        if created:
            sync_folder_of(path)
    except OSError as error:
        return result.Failure(
            'history %s cannot be written: %s' % (path, error))
    return result.Success(len(data))


def trim(path, since_ms):
    r"""Remove the samples from before a Unix time in ms, and skipped lines.

    The new file replaces the old one only after it has been synced.

    Returns
    =======

    returns.result.Result
        ``Success(number of lines dropped)`` or ``Failure`` with a message
        that names the file.
    """
    outcome = read(path)
    if not isinstance(outcome, result.Success):
        return outcome
    found = outcome.unwrap()
    kept = [entry for entry in found.samples if entry.time_ms >= since_ms]
    dropped = (
        len(found.samples) - len(kept)
        + found.torn_lines + found.malformed_lines)
    if not dropped:
        return result.Success(0)
    try:
        with open('%s.new' % path, 'wb') as file:
            file.write(encode(kept))
            file.flush()
            os.fsync(file.fileno())
        os.replace('%s.new' % path, path)
        sync_folder_of(path)
    except OSError as error:
        return result.Failure(
            'history %s cannot be written: %s' % (path, error))
    return result.Success(dropped)


def sync_folder_of(path):
    r"""Sync the folder of a file, so that the file's name is durable."""
    folder = os.open(os.path.dirname(os.path.abspath(path)), os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
