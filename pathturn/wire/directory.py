"""The directory's two forms, the list at the start and DNS answers, as rows of the list. No sockets here.

A row is (id, address, zone, machine, cell, state, size, started_ms).
"""

import struct
from typing import Any

from pathturn.core import interface as names

NAME = "_data._tcp.farm.lan"
A, SOA, TXT, SRV = 1, 6, 16, 33
HEADER, RECORD, SERVICE = struct.Struct("!6H"), struct.Struct("!HHIH"), struct.Struct("!3H")
SHORT, LONG = struct.Struct("!H"), struct.Struct("!I")
LONGEST_NAME = 255  # as in RFC 1035; bounds what a spoilt answer can make of pointers
LARGEST_NUMBER = 1 << 53  # of milliseconds or cells; the module counts in whole microseconds
QUESTION = b"".join(bytes([len(part)]) + part.encode() for part in [*NAME.split("."), ""]) + struct.pack(
    "!2H", SRV, 1
)
STATES = {"in_service": names.READY, "terminating": names.DRAINING, "terminated": names.GONE}


class Unreadable(Exception):
    """An answer that is none, or not whole."""


def address(text: str) -> tuple[str, int]:
    host, port = text.rsplit(":", 1)
    return host, int(port)


def known(told: dict[str, Any]) -> tuple[int, list[tuple]]:
    """Number of the last event, and the list that all of them together make."""
    rows: dict[str, tuple] = {}
    for update in told.get("updates", []):
        endpoints = update["endpoints"]
        if endpoints.get("full"):
            rows.clear()
        for each in endpoints["servers"]:
            state = STATES.get(each["state"], names.GONE)
            rows[each["id"]] = (
                each["id"],
                address(each["addr"]),
                each["zone"],
                each["kind"],
                each["cell"],
                state,
                each.get("weight", 1),
                each.get("started_ms") or 0,
            )
    return told.get("index", 0), [row for row in rows.values() if row[5] != names.GONE]


def question(number: int) -> bytes:
    return HEADER.pack(number, 0x100, 1, 0, 0, 0) + QUESTION


def answer(packet: bytes, number: int, last: int = -1) -> tuple[int, list[tuple] | None]:
    """Number of the last event, and the whole list; None for a list of no later event than `last`.

    Read here and not by a DNS library: the one used before took 7 ms of a core for 36 engines, and a gateway
    with a part of a core would stand still for half a second over the list of 1,024.
    """
    try:
        found, flags, asked, *counts = HEADER.unpack_from(packet)
        if found != number or not flags & 0x8000 or flags & 0x20F:
            raise Unreadable("another answer, a fault, or cut short")
        reader = Reader(packet)
        for _ in range(asked):
            reader.at = reader.past_name(reader.at) + 4
        records = [reader.record() for _ in range(sum(counts))]
        if reader.at > len(packet):
            raise Unreadable("cut short")
        serial = next(reader.serial(at) for sort, _, at, _ in records if sort == SOA)
        return serial, _rows(reader, records) if serial > last else None
    except (struct.error, LookupError, ValueError, StopIteration, RecursionError) as fault:
        raise Unreadable(type(fault).__name__) from fault


class Reader:
    """A DNS message (RFC 1035): records by type, offset of the name, offset and length of the data."""

    def __init__(self, packet: bytes) -> None:
        self.packet, self.at, self.names = packet, HEADER.size, {}

    def past_name(self, at: int) -> int:
        while size := self.packet[at]:
            if size >= 0xC0:
                return at + 2
            at += size + 1
        return at + 1

    def record(self) -> tuple[int, int, int, int]:
        name, at = self.at, self.past_name(self.at)
        sort, _, _, size = RECORD.unpack_from(self.packet, at)
        at += RECORD.size
        self.at = at + size
        return sort, name, at, size

    def serial(self, at: int) -> int:
        return LONG.unpack_from(self.packet, self.past_name(self.past_name(at)))[0]

    def name(self, at: int) -> str:
        """The labels from there on, joined by dots. Pointers only lead back, so that none leads round."""
        if (told := self.names.get(at)) is not None:
            return told
        size = self.packet[at]
        if size >= 0xC0:
            to = SHORT.unpack_from(self.packet, at)[0] & 0x3FFF
            if to >= at:
                raise Unreadable("pointer")
            told = self.name(to)
        elif size:
            label, rest = self.packet[at + 1 : at + 1 + size].decode(), self.name(at + 1 + size)
            told = f"{label}.{rest}" if rest else label
        else:
            told = ""
        if len(told) > LONGEST_NAME:
            raise Unreadable("name")
        self.names[at] = told
        return told

    def texts(self, at: int, size: int) -> dict[str, str]:
        end, told = at + size, {}
        while at < end:
            key, _, value = self.packet[at + 1 : at + 1 + self.packet[at]].decode().partition("=")
            told[key] = value
            at += self.packet[at] + 1
        return told


def _rows(reader: Reader, records: list[tuple]) -> list[tuple]:
    addresses, texts, targets = {}, {}, []
    for sort, name, at, size in records:
        if sort == A and size == 4:
            addresses[reader.name(name).lower()] = ".".join(map(str, reader.packet[at : at + 4]))
        elif sort == TXT:
            texts[reader.name(name).lower()] = reader.texts(at, size)
        elif sort == SRV:
            targets.append((*SERVICE.unpack_from(reader.packet, at), reader.name(at + SERVICE.size)))
    rows = []
    for priority, weight, port, target in targets:
        told, (identity, zone) = texts[target.lower()], target.split(".")[:2]
        cell, started = int(told.get("cell", 0)), int(told.get("started", 0))
        if not (0 <= cell < LARGEST_NUMBER and 0 <= started < LARGEST_NUMBER):
            raise Unreadable("number")
        rows.append(
            (
                identity,
                (addresses[target.lower()], port),
                zone,
                told["kind"],
                cell,
                names.DRAINING if priority else names.READY,
                weight / 10,
                started,
            )
        )
    return rows
