"""Units of the operator's document: times to whole microseconds, sizes to bytes, shares and rates to numbers.

A bare number is taken in the base unit, which is what an evaluated document holds; text carries its unit.
"""

import re

TEXT = re.compile(r"\s*(\d+(?:\.\d+)?)\s*([A-Za-z%/µ]+)\s*")
TIMES = {"us": 1, "µs": 1, "ms": 1_000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000}
SIZES = {"B": 1, "KB": 1_000, "MB": 1_000_000, "GB": 10**9, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
RATES = {"/s": 1.0, "/m": 1 / 60, "/h": 1 / 3600}


class Micros(int):
    """A time in whole microseconds."""


class Bytes(int):
    """A size in bytes."""


class Share(float):
    """A part of a whole, 0 to 1."""


class Rate(float):
    """So many a second."""


def _scaled(value: object, units: dict[str, float], example: str) -> float:
    if type(value) in (int, float):
        return float(value)
    found = TEXT.fullmatch(value) if isinstance(value, str) else None
    if found is None or found[2] not in units:
        raise ValueError(f"expected a figure such as {example}, with one of the units {', '.join(units)}")
    return float(found[1]) * units[found[2]]


def micros(value: object) -> Micros:
    """Raises ValueError with what would be right."""
    figure = _scaled(value, TIMES, "250ms")
    if figure < 0 or figure != int(figure):
        raise ValueError("a time is a whole number of microseconds, and not below 0")
    return Micros(figure)


def size(value: object) -> Bytes:
    figure = _scaled(value, SIZES, "64KiB")
    if figure < 0 or figure != int(figure):
        raise ValueError("a size is a whole number of bytes, and not below 0")
    return Bytes(figure)


def share(value: object) -> Share:
    figure = _scaled(value, {"%": 0.01}, "5%")
    if not 0 <= figure <= 1:
        raise ValueError("a share lies between 0 and 1, or 0% and 100%")
    return Share(figure)


def rate(value: object) -> Rate:
    figure = _scaled(value, RATES, "30/s")
    if figure <= 0:
        raise ValueError("a rate is above 0")
    return Rate(figure)


READERS = {Micros: micros, Bytes: size, Share: share, Rate: rate}
