"""Units of the routing document: times become whole microseconds, sizes bytes, shares and rates numbers.

A number without a unit is in the base unit, as in a document's canonical form; a string has its unit in it.
"""

import re
from math import isnan

MAX_NUMBER = 2.0**53  # up to here each whole number is exact
QUANTITY = re.compile(r"\s*(\d+(?:\.\d+)?)\s*([A-Za-z%/µ]+)\s*")
TIMES = {"us": 1, "µs": 1, "ms": 1_000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000}
SIZES = {"B": 1, "KB": 1_000, "MB": 1_000_000, "GB": 10**9, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
RATES = {"/s": 1.0, "/m": 1 / 60, "/h": 1 / 3600}


class Micros(int):
    """A time in whole microseconds."""


class Bytes(int):
    """A size in bytes."""


class Share(float):
    """A fraction from 0 to 1."""


class Rate(float):
    """A rate per second."""


def _to_base_unit(value: object, units: dict[str, float], example: str) -> float:
    number = _quantity(value, units, example)
    if isnan(number):
        raise ValueError(f"this is not a number; write a value such as {example}")
    if number > MAX_NUMBER:
        raise ValueError(f"the number is too large; write a value such as {example}")
    return number


def _quantity(value: object, units: dict[str, float], example: str) -> float:
    if type(value) is float:
        return value
    if type(value) is int:
        beyond = 2 * int(MAX_NUMBER)
        return float(max(-beyond, min(value, beyond)))
    match = QUANTITY.fullmatch(value) if isinstance(value, str) else None
    if match is None or match[2] not in units:
        raise ValueError(f"expected a value such as {example}, with one of these units: {', '.join(units)}")
    return float(match[1]) * units[match[2]]


def micros(value: object) -> Micros:
    """Parse a time. Raise ValueError with the expected form."""
    number = _to_base_unit(value, TIMES, "250ms")
    if number < 0 or number != int(number):
        raise ValueError("a time must be a whole number of microseconds and not negative")
    return Micros(number)


def size(value: object) -> Bytes:
    number = _to_base_unit(value, SIZES, "64KiB")
    if number < 0 or number != int(number):
        raise ValueError("a size must be a whole number of bytes and not negative")
    return Bytes(number)


def share(value: object) -> Share:
    number = _to_base_unit(value, {"%": 0.01}, "5%")
    if not 0 <= number <= 1:
        raise ValueError("a share must be between 0 and 1, or 0% and 100%")
    return Share(number)


def rate(value: object) -> Rate:
    number = _to_base_unit(value, RATES, "30/s")
    if number <= 0:
        raise ValueError("a rate must be more than 0")
    return Rate(number)


PARSERS = {Micros: micros, Bytes: size, Share: share, Rate: rate}
