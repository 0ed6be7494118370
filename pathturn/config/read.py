"""Reads an operator's document: all faults of shape and unit at once, each with its path, what and the
fix."""

from collections.abc import Callable, Generator, Iterator
from difflib import get_close_matches
from typing import Any, NamedTuple

import msgspec
from msgspec import inspect
from msgspec.structs import replace

from pathturn.config import units
from pathturn.config.document import Document, Limit, Route

LARGEST = 16 << 20  # a document of 10,000 routes takes 2 MB
ITEMS = {"routes": Route, "limits": Limit}
SLICE = 16  # routes or fields looked at between two yields
MOST_FAULTS = 200  # more tell no more, and a foreign file has one in each line
# Tells where the value at a path was written; a language that evaluates to a document brings its own.
Places = Callable[[str], str]


class Fault(NamedTuple):
    """One thing that is wrong: `path` in the document, `what`, the `fix`, and where it was written."""

    path: str
    what: str
    fix: str
    place: str = ""

    def __str__(self) -> str:
        return f"{self.place or 'document'}: {self.path or '(all)'}: {self.what}; fix: {self.fix}"


class Unusable(Exception):
    """A document that has faults; `faults` are all of them."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("; ".join(map(str, faults[:3])))
        self.faults = faults


def nearest(name: str, known: Any) -> str:
    close = get_close_matches(name, list(map(str, known)), 1)
    return f"write {close[0]!r}" if close else "use one of " + ", ".join(sorted(map(str, known))[:8])


def join(path: str, name: object) -> str:
    return f"{path}[{name}]" if isinstance(name, int) else f"{path}.{name}" if path else str(name)


def parse(data: bytes) -> Any:
    """JSON, or the one fault that tells why it is none."""
    if len(data) > LARGEST:
        raise Unusable([Fault("", f"{len(data)} bytes", f"keep a document under {LARGEST} bytes")])
    try:
        return msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as fault:
        raise Unusable([Fault("", f"no JSON: {fault}", "mend the text at that byte")]) from None


def parsing(data: bytes | msgspec.Raw) -> Generator[None, None, Any]:
    """The same in slices: what is long is cut out unread first, and then read piece by piece."""
    if len(bytes(data)) > LARGEST:
        parse(bytes(data))
    try:
        parts = msgspec.json.decode(data, type=dict[str, msgspec.Raw])
        yield
        found: dict[str, Any] = {}
        for name, part in parts.items():
            found[name] = [] if name in ITEMS and bytes(part)[:1] == b"[" else msgspec.json.decode(part)
            if found[name] == [] and name in ITEMS:
                yield
                for at, item in enumerate(msgspec.json.decode(part, type=list[msgspec.Raw])):
                    found[name].append(msgspec.json.decode(item))
                    if at % SLICE == 0:
                        yield
        return found
    except (msgspec.DecodeError, UnicodeDecodeError):
        return parse(bytes(data))  # tells what is wrong in words of the whole text


def spend(told: dict[str, Any]) -> Iterator[None]:
    """Frees what was parsed, in slices: in one go a long document takes ten milliseconds."""
    for name in ITEMS:
        while part := told.get(name):
            del part[-SLICE:]
            yield


def reading(raw: Any, places: Places | None = None) -> Generator[None, None, Document]:
    """The document, whole, in slices. Raises Unusable with every fault of shape."""
    faults: list[Fault] = []
    for turn, fault in enumerate(_faults(raw, inspect.type_info(Document), "")):
        if fault is not None and len(faults) < MOST_FAULTS:
            faults.append(fault)
        if turn % SLICE == 0:
            yield
    if faults:
        raise Unusable(placed(faults, places))
    parts = {}
    for name in ("routes", "limits"):  # the two that are long
        made = parts[name] = []
        for each in raw.get(name, ()):
            made.append(msgspec.convert(each, ITEMS[name], dec_hook=_hook, strict=True))
            if len(made) % SLICE == 0:
                yield
    short = {name: value for name, value in raw.items() if name not in parts}
    document = msgspec.convert(short, Document, dec_hook=_hook, strict=True)
    return replace(document, **{name: tuple(made) for name, made in parts.items()})


def read(raw: Any, places: Places | None = None) -> Document:
    """The same in one go."""
    return through(reading(raw, places))


def through(steps: Generator[None, None, Any]) -> Any:
    """Runs a job of slices in one go; what it returns."""
    while True:
        try:
            next(steps)
        except StopIteration as done:
            return done.value


def placed(faults: list[Fault], places: Places | None) -> list[Fault]:
    return [fault._replace(place=places(fault.path)) for fault in faults] if places else faults


def encoding(document: Document) -> Generator[None, None, bytes]:
    """The same bytes for the same meaning, units gone and fields in order; in slices."""
    told = bytearray()
    for name in document.__struct_fields__:
        value, long = getattr(document, name), name in ITEMS
        told += b',"%s":%s' % (name.encode(), b"[" if long else b"")
        for at, each in enumerate(value if long else [value]):
            told += b"," if at else b""
            told += msgspec.json.encode(each, enc_hook=_plain, order="deterministic")
            if at % SLICE == 0:
                yield
        told += b"]" if long else b""
    told[:1] = b"{"
    told += b"}"
    return bytes(told)


def canonical(document: Document) -> bytes:
    """The same in one go."""
    return through(encoding(document))


def _plain(value: Any) -> Any:
    return int(value) if isinstance(value, int) else float(value)


def _hook(wanted: type, value: Any) -> Any:
    return units.READERS[wanted](value)


def _faults(value: Any, kind: inspect.Type, path: str) -> Iterator[Fault | None]:
    """What is wrong, and None where others may go between."""
    if isinstance(kind, inspect.UnionType):
        kind = _branch(value, kind)
    if isinstance(kind, inspect.StructType):
        yield from _struct(value, kind, path)
    elif isinstance(kind, inspect.DictType) and type(value) is dict:
        for name, each in value.items():
            yield from _faults(each, kind.value_type, join(path, name))
    elif isinstance(kind, inspect.VarTupleType) and type(value) is list:
        for at, each in enumerate(value):
            yield None
            yield from _faults(each, kind.item_type, join(path, at))
    elif isinstance(kind, inspect.CustomType):
        try:
            units.READERS[kind.cls](value)
        except ValueError as fault:
            yield Fault(path, f"{value!r} cannot be used", str(fault))
    else:
        yield from _leaf(value, kind, path)


def _branch(value: Any, kind: inspect.UnionType) -> inspect.Type:
    """The member that the value looks like, so that a fault is told of what was meant."""
    if value is None and kind.includes_none:
        return inspect.NoneType()
    rest = [each for each in kind.types if not isinstance(each, inspect.NoneType)]
    wanted = inspect.DictType if type(value) is dict else inspect.StrType
    return next((each for each in rest if isinstance(each, wanted)), rest[0])


def _struct(value: Any, kind: inspect.StructType, path: str) -> Iterator[Fault | None]:
    if type(value) is not dict:
        yield Fault(path, f"a {type(value).__name__} where an object belongs", "write { ... } here")
        return
    fields = {each.encode_name: each for each in kind.fields}
    for name, each in value.items():
        if name in fields:
            yield from _faults(each, fields[name].type, join(path, name))
        else:
            yield Fault(join(path, name), "unknown field", nearest(name, fields))
    for name, each in fields.items():
        if each.required and name not in value:
            yield Fault(join(path, name), "missing", f"state {name}")


def _leaf(value: Any, kind: inspect.Type, path: str) -> Iterator[Fault | None]:
    wanted = {
        inspect.StrType: (str, "text"),
        inspect.IntType: (int, "a whole number"),
        inspect.NoneType: (type(None), "nothing"),
    }.get(type(kind))
    if isinstance(kind, inspect.LiteralType):
        if value not in kind.values or type(value) is not type(kind.values[0]):
            yield Fault(path, f"{value!r} is none of the values", nearest(str(value), kind.values))
    elif isinstance(kind, inspect.TupleType):
        if type(value) is not list or [type(each) for each in value] != [int, int]:
            yield Fault(path, f"{value!r} is no range", "write [first, last] in whole numbers")
    elif wanted is None:
        yield Fault(path, f"a {type(value).__name__} does not belong here", "look at the operators' page")
    elif type(value) is not wanted[0]:
        yield Fault(path, f"a {type(value).__name__} where {wanted[1]} belongs", f"write {wanted[1]}")
    elif type(value) is int and value < 0:
        yield Fault(path, f"{value} is below 0", "write 0 or more")
