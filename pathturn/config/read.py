"""Reads a routing document and reports all faults of types and units at once, each with its path, a
description and a fix.

Functions that return a generator do the same work in slices, for the background scheduler.
"""

from collections.abc import Callable, Generator, Iterator
from difflib import get_close_matches
from typing import Any, NamedTuple

import msgspec
from msgspec import inspect
from msgspec.structs import replace

from pathturn.config import units
from pathturn.config.document import Document, Limit, Route

MAX_DOCUMENT_BYTES = 16 << 20  # a document of 10,000 routes has 2 MB
ITEMS = {"routes": Route, "limits": Limit}
SLICE_ITEMS = 16  # routes, limits or values processed between two yields
MAX_FAULTS = 200  # a file of another kind would give one for each line
# Returns the place in the source of the value at a path, for documents generated from another language.
Locator = Callable[[str], str]


class Fault(NamedTuple):
    """One fault: its `path` in the document, `what` is wrong, the `fix`, and the `place` in the source."""

    path: str
    what: str
    fix: str
    place: str = ""

    def __str__(self) -> str:
        return f"{self.place or 'document'}: {self.path or '(all)'}: {self.what}; fix: {self.fix}"


class InvalidDocumentError(Exception):
    """The document is invalid; `faults` lists all of its faults."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("; ".join(map(str, faults[:3])))
        self.faults = faults


def suggest_name(name: str, known: Any) -> str:
    """Return a fix that suggests the known name closest to a wrong one."""
    close = get_close_matches(name, list(map(str, known)), 1)
    return f"write {close[0]!r}" if close else "use one of " + ", ".join(sorted(map(str, known))[:8])


def join(path: str, name: object) -> str:
    """Append a field name or an index to a path."""
    return f"{path}[{name}]" if isinstance(name, int) else f"{path}.{name}" if path else str(name)


def parse(data: bytes) -> Any:
    """Decode JSON. Raise InvalidDocumentError with a single fault if it is too large or no valid JSON."""
    if len(data) > MAX_DOCUMENT_BYTES:
        raise InvalidDocumentError(
            [Fault("", f"document has {len(data)} bytes", f"keep it to {MAX_DOCUMENT_BYTES} bytes or less")]
        )
    try:
        return msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as fault:
        raise InvalidDocumentError(
            [Fault("", f"invalid JSON: {fault}", "correct the text at that byte")]
        ) from None


def parse_in_slices(data: bytes | msgspec.Raw) -> Generator[None, None, Any]:
    """Decode JSON in slices: the long lists are first split into undecoded items, then decoded one by one."""
    if len(bytes(data)) > MAX_DOCUMENT_BYTES:
        parse(bytes(data))
    try:
        raw_fields = msgspec.json.decode(data, type=dict[str, msgspec.Raw])
        yield
        fields: dict[str, Any] = {}
        for name, raw_field in raw_fields.items():
            fields[name] = (
                [] if name in ITEMS and bytes(raw_field)[:1] == b"[" else msgspec.json.decode(raw_field)
            )
            if fields[name] == [] and name in ITEMS:
                yield
                for index, item in enumerate(msgspec.json.decode(raw_field, type=list[msgspec.Raw])):
                    fields[name].append(msgspec.json.decode(item))
                    if index % SLICE_ITEMS == 0:
                        yield
        return fields
    except (msgspec.DecodeError, UnicodeDecodeError):
        return parse(bytes(data))  # its error has the position in the whole text


def free_in_slices(fields: dict[str, Any]) -> Iterator[None]:
    """Free a parsed document in slices: at once, a long one blocks for ten milliseconds."""
    for name in ITEMS:
        while items := fields.get(name):
            del items[-SLICE_ITEMS:]
            yield


def read_in_slices(raw: Any, locate: Locator | None = None) -> Generator[None, None, Document]:
    """Convert decoded JSON to a document in slices. Raise InvalidDocumentError with all faults of types and
    units."""
    faults: list[Fault] = []
    for step, fault in enumerate(_faults(raw, inspect.type_info(Document), "")):
        if fault is not None and len(faults) < MAX_FAULTS:
            faults.append(fault)
        if step % SLICE_ITEMS == 0:
            yield
    if faults:
        raise InvalidDocumentError(with_places(faults, locate))
    long_lists = {}
    for name in ("routes", "limits"):
        converted = long_lists[name] = []
        for item in raw.get(name, ()):
            converted.append(msgspec.convert(item, ITEMS[name], dec_hook=_decode_unit, strict=True))
            if len(converted) % SLICE_ITEMS == 0:
                yield
    other_fields = {name: value for name, value in raw.items() if name not in long_lists}
    document = msgspec.convert(other_fields, Document, dec_hook=_decode_unit, strict=True)
    return replace(document, **{name: tuple(converted) for name, converted in long_lists.items()})


def read(raw: Any, locate: Locator | None = None) -> Document:
    """Convert decoded JSON to a document at once."""
    return run_to_completion(read_in_slices(raw, locate))


def run_to_completion(job: Generator[None, None, Any]) -> Any:
    """Run a generator to its end and return its result."""
    while True:
        try:
            next(job)
        except StopIteration as done:
            return done.value


def with_places(faults: list[Fault], locate: Locator | None) -> list[Fault]:
    """Add to each fault its place in the source, if a locator is given."""
    return [fault._replace(place=locate(fault.path)) for fault in faults] if locate else faults


def encode_in_slices(document: Document) -> Generator[None, None, bytes]:
    """Encode a document in its canonical form, in slices: base units and fixed field order, so that equal
    documents give equal bytes."""
    encoded = bytearray()
    for name in document.__struct_fields__:
        value, is_list = getattr(document, name), name in ITEMS
        encoded += b',"%s":%s' % (name.encode(), b"[" if is_list else b"")
        for index, item in enumerate(value if is_list else [value]):
            encoded += b"," if index else b""
            encoded += msgspec.json.encode(item, enc_hook=_encode_number, order="deterministic")
            if index % SLICE_ITEMS == 0:
                yield
        encoded += b"]" if is_list else b""
    encoded[:1] = b"{"
    encoded += b"}"
    return bytes(encoded)


def canonical(document: Document) -> bytes:
    """Encode a document in its canonical form at once."""
    return run_to_completion(encode_in_slices(document))


def _encode_number(value: Any) -> Any:
    return int(value) if isinstance(value, int) else float(value)


def _decode_unit(unit: type, value: Any) -> Any:
    return units.PARSERS[unit](value)


def _faults(value: Any, kind: inspect.Type, path: str) -> Iterator[Fault | None]:
    """Yield the faults of a value, and None where the caller may yield to other jobs."""
    if isinstance(kind, inspect.UnionType):
        kind = _select_member(value, kind)
    if isinstance(kind, inspect.StructType):
        yield from _struct_faults(value, kind, path)
    elif isinstance(kind, inspect.DictType) and type(value) is dict:
        for name, item in value.items():
            yield from _faults(item, kind.value_type, join(path, name))
    elif isinstance(kind, inspect.VarTupleType) and type(value) is list:
        for index, item in enumerate(value):
            yield None
            yield from _faults(item, kind.item_type, join(path, index))
    elif isinstance(kind, inspect.CustomType):
        try:
            units.PARSERS[kind.cls](value)
        except ValueError as fault:
            yield Fault(path, f"{value!r} is invalid", str(fault))
    else:
        yield from _scalar_faults(value, kind, path)


def _select_member(value: Any, kind: inspect.UnionType) -> inspect.Type:
    """Return the member type that the value resembles, so that faults refer to the intended one."""
    if value is None and kind.includes_none:
        return inspect.NoneType()
    members = [member for member in kind.types if not isinstance(member, inspect.NoneType)]
    expected = inspect.DictType if type(value) is dict else inspect.StrType
    return next((member for member in members if isinstance(member, expected)), members[0])


def _struct_faults(value: Any, kind: inspect.StructType, path: str) -> Iterator[Fault | None]:
    if type(value) is not dict:
        yield Fault(path, f"an object belongs here, not {type(value).__name__}", "write { ... }")
        return
    fields = {field.encode_name: field for field in kind.fields}
    for name, item in value.items():
        if name in fields:
            yield from _faults(item, fields[name].type, join(path, name))
        else:
            yield Fault(join(path, name), "unknown field", suggest_name(name, fields))
    for name, field in fields.items():
        if field.required and name not in value:
            yield Fault(join(path, name), "missing", f"add {name}")


def _scalar_faults(value: Any, kind: inspect.Type, path: str) -> Iterator[Fault | None]:
    expected = {
        inspect.StrType: (str, "a string"),
        inspect.IntType: (int, "a whole number"),
        inspect.NoneType: (type(None), "null"),
    }.get(type(kind))
    if isinstance(kind, inspect.LiteralType):
        if value not in kind.values or type(value) is not type(kind.values[0]):
            yield Fault(
                path, f"{value!r} is none of the values allowed", suggest_name(str(value), kind.values)
            )
    elif isinstance(kind, inspect.TupleType):
        if type(value) is not list or [type(end) for end in value] != [int, int]:
            yield Fault(path, f"{value!r} is not a range", "write [first, last] with two whole numbers")
    elif expected is None:
        yield Fault(path, f"{type(value).__name__} does not belong here", "see the operators' documentation")
    elif type(value) is not expected[0]:
        yield Fault(path, f"{expected[1]} belongs here, not {type(value).__name__}", f"write {expected[1]}")
    elif type(value) is int and value < 0:
        yield Fault(path, f"{value} is negative", "write 0 or more")
