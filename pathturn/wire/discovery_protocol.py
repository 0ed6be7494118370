"""Discovery data: parses the list of engines at start-up and in DNS responses. Does no I/O.

Each engine is a row (id, address, zone, machine, cell, state, size, started_ms).
"""

import struct
from typing import Any

from pathturn.core import interface as names

SERVICE_NAME = "_data._tcp.farm.lan"
# DNS record types.
A = 1
SOA = 6
TXT = 16
SRV = 33
HEADER = struct.Struct("!6H")
RECORD = struct.Struct("!HHIH")
SRV_DATA = struct.Struct("!3H")
UINT16 = struct.Struct("!H")
UINT32 = struct.Struct("!I")
MAX_NAME_CHARS = 255  # as in RFC 1035; bounds the names that compression pointers can build
MAX_NUMBER = 1 << 53  # of milliseconds or cells; the dispatcher counts in whole microseconds
# Bits of the DNS header's flags.
RECURSION_DESIRED = 0x100
RESPONSE = 0x8000
TRUNCATED_OR_ERROR = 0x20F
# The highest two bits of a label's length mark a compression pointer; the others are its offset.
POINTER = 0xC0
POINTER_OFFSET = 0x3FFF
QUESTION = b"".join(
    bytes([len(label)]) + label.encode() for label in [*SERVICE_NAME.split("."), ""]
) + struct.pack("!2H", SRV, 1)
STATES = {"in_service": names.READY, "terminating": names.DRAINING, "terminated": names.GONE}


class MalformedResponseError(Exception):
    """The packet is no complete and valid response to the query."""


def parse_address(text: str) -> tuple[str, int]:
    """Parse `host:port`."""
    host, port = text.rsplit(":", 1)
    return host, int(port)


def parse_initial_list(configuration: dict[str, Any]) -> tuple[int, list[tuple]]:
    """Return the serial of the last update in the start-up configuration, and the list that all updates
    make together."""
    rows: dict[str, tuple] = {}
    for update in configuration.get("updates", []):
        endpoints = update["endpoints"]
        if endpoints.get("full"):
            rows.clear()
        for server in endpoints["servers"]:
            state = STATES.get(server["state"], names.GONE)
            rows[server["id"]] = (
                server["id"],
                parse_address(server["addr"]),
                server["zone"],
                server["kind"],
                server["cell"],
                state,
                server.get("weight", 1),
                server.get("started_ms") or 0,
            )
    return configuration.get("index", 0), [row for row in rows.values() if row[5] != names.GONE]


def build_query(query_id: int) -> bytes:
    """Encode the DNS query for all engines."""
    return HEADER.pack(query_id, RECURSION_DESIRED, 1, 0, 0, 0) + QUESTION


def response_id(packet: bytes) -> int | None:
    """Return the id of the query that a packet responds to, None if it has none."""
    return UINT16.unpack_from(packet)[0] if len(packet) >= UINT16.size else None


def parse_response(packet: bytes, query_id: int, last_serial: int = -1) -> tuple[int, list[tuple] | None]:
    """Return the serial and the list of engines; None for the list if its serial is not above `last_serial`.

    Parsed here instead of by a DNS library: one took 7 ms of a core for 36 engines, so that a gateway with a
    fraction of a core would stall for half a second on a list of 1,024.
    """
    try:
        response_id, flags, questions, *counts = HEADER.unpack_from(packet)
        if response_id != query_id or not flags & RESPONSE or flags & TRUNCATED_OR_ERROR:
            raise MalformedResponseError("wrong query id, an error, or truncated")
        reader = DnsReader(packet)
        for _ in range(questions):
            reader.offset = reader.skip_name(reader.offset) + 4
        records = [reader.record() for _ in range(sum(counts))]
        if reader.offset > len(packet):
            raise MalformedResponseError("truncated")
        serial = next(reader.serial(offset) for kind, _, offset, _ in records if kind == SOA)
        return serial, _rows(reader, records) if serial > last_serial else None
    except (struct.error, LookupError, ValueError, StopIteration, RecursionError) as error:
        raise MalformedResponseError(type(error).__name__) from error


class DnsReader:
    """Reads a DNS message (RFC 1035). A record is its type, the offset of its name, and the offset and
    length of its data."""

    def __init__(self, packet: bytes) -> None:
        self.packet = packet
        self.offset = HEADER.size
        self.names = {}

    def skip_name(self, offset: int) -> int:
        """Return the offset behind the name at this one."""
        while size := self.packet[offset]:
            if size >= POINTER:
                return offset + 2
            offset += size + 1
        return offset + 1

    def record(self) -> tuple[int, int, int, int]:
        """Read the record at the present offset and advance behind it."""
        name = self.offset
        offset = self.skip_name(self.offset)
        kind, _, _, size = RECORD.unpack_from(self.packet, offset)
        offset += RECORD.size
        self.offset = offset + size
        return kind, name, offset, size

    def serial(self, offset: int) -> int:
        """Return the serial of the SOA data at this offset."""
        return UINT32.unpack_from(self.packet, self.skip_name(self.skip_name(offset)))[0]

    def name(self, offset: int) -> str:
        """Return the name at this offset, its labels joined by dots. Compression pointers must point
        backwards, so that they cannot form a loop."""
        if (name := self.names.get(offset)) is not None:
            return name
        size = self.packet[offset]
        if size >= POINTER:
            target = UINT16.unpack_from(self.packet, offset)[0] & POINTER_OFFSET
            if target >= offset:
                raise MalformedResponseError("pointer")
            name = self.name(target)
        elif size:
            label = self.packet[offset + 1 : offset + 1 + size].decode()
            rest = self.name(offset + 1 + size)
            name = f"{label}.{rest}" if rest else label
        else:
            name = ""
        if len(name) > MAX_NAME_CHARS:
            raise MalformedResponseError("name")
        self.names[offset] = name
        return name

    def texts(self, offset: int, size: int) -> dict[str, str]:
        """Return the key=value pairs of TXT data."""
        end = offset + size
        pairs = {}
        while offset < end:
            key, _, value = self.packet[offset + 1 : offset + 1 + self.packet[offset]].decode().partition("=")
            pairs[key] = value
            offset += self.packet[offset] + 1
        return pairs


def _rows(reader: DnsReader, records: list[tuple]) -> list[tuple]:
    addresses = {}
    texts = {}
    targets = []
    for kind, name, offset, size in records:
        if kind == A and size == 4:
            addresses[reader.name(name).lower()] = ".".join(map(str, reader.packet[offset : offset + 4]))
        elif kind == TXT:
            texts[reader.name(name).lower()] = reader.texts(offset, size)
        elif kind == SRV:
            targets.append(
                (*SRV_DATA.unpack_from(reader.packet, offset), reader.name(offset + SRV_DATA.size))
            )
    rows = []
    for priority, weight, port, target in targets:
        pairs = texts[target.lower()]
        identity, zone = target.split(".")[:2]
        cell = int(pairs.get("cell", 0))
        started_ms = int(pairs.get("started", 0))
        if not (0 <= cell < MAX_NUMBER and 0 <= started_ms < MAX_NUMBER):
            raise MalformedResponseError("number")
        rows.append(
            (
                identity,
                (addresses[target.lower()], port),
                zone,
                pairs["kind"],
                cell,
                names.DRAINING if priority else names.READY,
                weight / 10,
                started_ms,
            )
        )
    return rows
