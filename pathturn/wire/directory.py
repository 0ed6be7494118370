"""The directory's two forms, the list at the start and DNS answers, as rows of the list. No sockets here.

A row is (id, address, zone, machine, cell, state, size, started_ms).
"""

from typing import Any

from dnslib import QTYPE, DNSQuestion, DNSRecord

from pathturn.core import interface as names

NAME = "_data._tcp.farm.lan"
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
            rows[each["id"]] = (each["id"], address(each["addr"]), each["zone"], each["kind"], each["cell"],
                                state, each.get("weight", 1), each.get("started_ms") or 0)
    return told.get("index", 0), [row for row in rows.values() if row[5] != names.GONE]


def question(number: int) -> bytes:
    record = DNSRecord(q=DNSQuestion(NAME, QTYPE.SRV))
    record.header.id = number
    return record.pack()


def answer(packet: bytes, number: int) -> tuple[int, list[tuple]]:
    try:
        record = DNSRecord.parse(packet)
        if record.header.id != number or record.header.rcode or record.header.tc:
            raise Unreadable("another answer, a fault, or cut short")
        serial = next(each.rdata.times[0] for each in record.auth if each.rtype == QTYPE.SOA)
        return serial, _rows(record)
    except Exception as fault:  # noqa: BLE001 - whatever a datagram holds must not end the following of the list
        raise Unreadable(f"{type(fault).__name__}: {fault}") from fault


def _rows(record: DNSRecord) -> list[tuple]:
    addresses, texts, targets = {}, {}, []
    for each in [*record.rr, *record.ar, *record.auth]:
        name = str(each.rname).rstrip(".").lower()
        if each.rtype == QTYPE.A:
            addresses[name] = str(each.rdata)
        elif each.rtype == QTYPE.TXT:
            texts[name] = dict(part.decode().split("=", 1) for part in each.rdata.data)
        elif each.rtype == QTYPE.SRV:
            targets.append((str(each.rdata.target).rstrip("."), each.rdata))
    rows = []
    for target, service in targets:
        told, (identity, zone) = texts[target.lower()], target.split(".")[:2]
        state = names.DRAINING if service.priority else names.READY
        rows.append((identity, (addresses[target.lower()], service.port), zone, told["kind"],
                     int(told.get("cell", 0)), state, service.weight / 10, int(told.get("started", 0))))
    return rows
