r"""Typed decoding of JSON bodies from outside the system."""

import msgspec
from returns import result


def decode(body, body_type, what):
    r"""Decode the JSON body of a request.

    Explanation
    ===========

    Bodies come from operators, targets and other writers, so they may hold
    any bytes. A body that can't be decoded is refused and raises nothing.

    Examples
    ========

    >>> decode(b'[1, 2]', list[int], 'numbers').unwrap()
    [1, 2]
    >>> decode(b'[1, "2"]', list[int], 'numbers').failure()
    'numbers: Expected `int`, got `str` - at `$[1]`'
    >>> decode(b'[' * 5000, list[int], 'numbers').failure()
    'numbers: Expected `int`, got `array` - at `$[0]`'

    Parameters
    ==========

    body_type : type
        Type that the body is checked against, usually a ``msgspec.Struct``.
    what : str
        Name of the body at the start of the error.

    Returns
    =======

    Result
        ``Success(value)`` or ``Failure(message)``.
    """
    try:
        return result.Success(msgspec.json.decode(body, type=body_type))
    except (msgspec.DecodeError, UnicodeDecodeError,
            RecursionError) as error:
        return result.Failure('%s: %s' % (what, error))
