"""The ledger: generations, changes and their steps in an embedded store, each step durable before it takes
effect.

SQLite with a write-ahead log, opened by one process alone and synced at each commit: a commit is one append,
whose frames are checksummed by the store, so that a kill anywhere in it leaves the state before or the one
after. On top of that each row carries a checksum of its own, against a bit that turned later, and the file
its version. What cannot be trusted is refused whole, with one line.
"""

import sqlite3
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from hashlib import blake2b
from pathlib import Path
from typing import NamedTuple

import msgspec

from pathturn.change.states import Change, roll_back
from pathturn.config.document import Document
from pathturn.config.read import Unusable, parse, read

FORMAT, APPLICATION = 1, 0x70617468  # "path": tells our files from others'
MOST_CHANGES = 1_000  # older ones are dropped, with their generations
SCHEMA = """
CREATE TABLE generations (number INTEGER PRIMARY KEY, document BLOB NOT NULL, sum BLOB NOT NULL);
CREATE TABLE changes (seq INTEGER PRIMARY KEY, id TEXT NOT NULL UNIQUE, state TEXT NOT NULL, record BLOB NOT
NULL, sum BLOB NOT NULL);
CREATE TABLE steps (seq INTEGER PRIMARY KEY, id TEXT NOT NULL, at_us INTEGER NOT NULL, record BLOB NOT NULL,
                    sum BLOB NOT NULL);
CREATE TABLE present (one INTEGER PRIMARY KEY CHECK (one = 1), generation INTEGER NOT NULL, sum BLOB NOT
NULL);
"""


class LedgerUnusableError(Exception):
    """The file is not a ledger that can be trusted; its text says what is wrong and what to do."""


class LedgerWriteError(Exception):
    """A step could not be made durable, so that it must not take effect."""


class Step(NamedTuple):
    at_us: int
    change: Change


FIXES = {
    "locked": "another process has it, and each gateway needs one of its own",
    "unable to open": "make its folder, writable for this user",
    "readonly": "make the file and its folder writable for this user",
    "full": "make room on its disk",
}


def _fix(fault: str) -> str:
    return next(
        (fix for word, fix in FIXES.items() if word in fault), "move the file away to begin a new ledger"
    )


def checksum(*parts: object) -> bytes:
    return blake2b(
        b"\x00".join(part if isinstance(part, bytes) else str(part).encode() for part in parts),
        digest_size=16,
    ).digest()


class Ledger:
    """Methods block for as long as the disk takes: call them from a thread of their own. `probe` is called
    with a name at each point where a kill would find another state; tests end the process there."""

    def __init__(self, path: Path, probe: Callable[[str], None] = lambda point: None) -> None:
        self.path, self.probe = path, probe
        try:
            self.connection = sqlite3.connect(
                path, isolation_level=None, check_same_thread=False, timeout=1.0
            )
            self._open()
        except sqlite3.Error as fault:
            raise LedgerUnusableError(f"{path}: {fault}; {_fix(str(fault))}") from fault

    def _open(self) -> None:
        for pragma in ("locking_mode=EXCLUSIVE", "journal_mode=WAL", "synchronous=FULL"):
            self.connection.execute("PRAGMA " + pragma)
        (version,) = self.connection.execute("PRAGMA user_version").fetchone()
        (kind,) = self.connection.execute("PRAGMA application_id").fetchone()
        (tables,) = self.connection.execute("SELECT count(*) FROM sqlite_master").fetchone()
        if not tables and not version:
            self._create()
        elif kind != APPLICATION:
            raise LedgerUnusableError(f"{self.path}: another program's file; name a new one")
        elif version != FORMAT:
            raise LedgerUnusableError(
                f"{self.path}: format {version}, not {FORMAT}; use the program that wrote it"
            )
        (found,) = self.connection.execute("PRAGMA quick_check").fetchone()
        if found != "ok":
            raise LedgerUnusableError(f"{self.path}: damaged ({found}); move it away to begin a new ledger")

    def _create(self) -> None:
        with self._write("create"):
            for statement in SCHEMA.split(";"):
                if statement.strip():
                    self.connection.execute(statement)
            self.connection.execute(f"PRAGMA application_id={APPLICATION}")
            self.connection.execute(f"PRAGMA user_version={FORMAT}")

    @contextmanager
    def _write(self, name: str) -> Iterator[None]:
        """All of it or nothing; LedgerWriteError where the disk would not take it."""
        try:
            self.probe(f"{name}:before")
            self.connection.execute("BEGIN IMMEDIATE")
            try:
                yield
                self.probe(f"{name}:written")
                self.connection.execute("COMMIT")
            except BaseException:
                if self.connection.in_transaction:
                    self.connection.execute("ROLLBACK")
                raise
            self.probe(f"{name}:committed")
        except sqlite3.Error as fault:
            raise LedgerWriteError(f"{self.path}: {fault}") from fault

    def close(self) -> None:
        self.connection.close()

    # What is there.
    def current_generation(self) -> int:
        """The generation in force; 0 in a new ledger."""
        row = self._row("SELECT generation, sum FROM present")
        if row is None:
            return 0
        self._checked(row[1], "present", row[0])
        return row[0]

    def document(self, number: int) -> Document:
        row = self._row("SELECT document, sum FROM generations WHERE number = ?", number)
        if row is None:
            raise LedgerUnusableError(
                f"{self.path}: generation {number} is missing; restore the file, or begin a new one"
            )
        self._checked(row[1], number, row[0])
        try:
            return read(parse(row[0]))
        except Unusable as fault:
            raise LedgerUnusableError(f"{self.path}: generation {number} cannot be used: {fault}") from fault

    def find_change(self, identity: str) -> Change | None:
        row = self._row("SELECT record, sum FROM changes WHERE id = ?", identity)
        return None if row is None else self._change(*row)

    def open_change(self) -> Change | None:
        row = self._row("SELECT record, sum FROM changes WHERE state NOT IN ('kept', 'undone')")
        return None if row is None else self._change(*row)

    def history(self, most: int = 50) -> list[Change]:
        """The latest first."""
        rows = self.connection.execute("SELECT record, sum FROM changes ORDER BY seq DESC LIMIT ?", (most,))
        return [self._change(*row) for row in rows]

    def steps(self, identity: str) -> list[Step]:
        rows = self.connection.execute(
            "SELECT at_us, record, sum FROM steps WHERE id = ? ORDER BY seq", (identity,)
        )
        return [Step(at, self._change(record, check)) for at, record, check in rows]

    def generations(self) -> list[int]:
        return [row[0] for row in self.connection.execute("SELECT number FROM generations ORDER BY number")]

    def last_generation(self) -> int:
        """The highest number ever given: those of undone changes are not given again."""
        row = self._row("SELECT max(number) FROM generations")
        return row[0] or 0

    def _row(self, query: str, *values: object) -> tuple | None:
        return self.connection.execute(query, values).fetchone()

    def _checked(self, check: bytes, *parts: object) -> None:
        if checksum(*parts) != check:
            raise LedgerUnusableError(
                f"{self.path}: a checksum is wrong; restore the file, or move it away to begin anew"
            )

    def _change(self, record: bytes, check: bytes) -> Change:
        self._checked(check, record)
        return msgspec.json.decode(record, type=Change, dec_hook=lambda kind, value: kind(value))

    # What is written: one transaction each.
    def initialize(self, document: bytes) -> int:
        """The document that a new ledger begins with, kept without a watch: nothing came before it."""
        with self._write("initialize"):
            self._put_document(1, document)
            self._put_present(1)
        return 1

    def record_staged(self, change: Change, document: bytes) -> None:
        """The document in its canonical form."""
        with self._write("staged"):
            self._put_document(change.generation, document)
            self._put(change)

    def record_step(self, change: Change) -> None:
        """One step of a change; where it is kept its generation is the one in force from here on."""
        with self._write(change.state):
            self._put(change)
            if change.state == "kept":
                self._put_present(change.generation)
            if not change.open:
                self._prune()

    def recover(self, now_us: int) -> Change | None:
        """After a stop at any point: what was not kept is undone, and the generation before it is in
        force."""
        ended = None
        # More than one where the disk did not take an undo and a later change was staged all the same.
        while (left := self.open_change()) is not None:
            ended = roll_back(left, now_us, f"the gateway ended while it was {left.state}")
            self.record_step(ended)
        return ended

    def _put(self, change: Change) -> None:
        record = msgspec.json.encode(
            change, enc_hook=lambda value: int(value) if isinstance(value, int) else float(value)
        )
        check = checksum(record)
        self.connection.execute(
            "INSERT INTO changes (id, state, record, sum) VALUES (?, ?, ?, ?) ON CONFLICT (id) DO UPDATE SET "
            "state = excluded.state, record = excluded.record, sum = excluded.sum",
            (change.id, change.state, record, check),
        )
        self.connection.execute(
            "INSERT INTO steps (id, at_us, record, sum) VALUES (?, ?, ?, ?)",
            (change.id, change.since_us, record, check),
        )

    def _put_document(self, number: int, data: bytes) -> None:
        self.connection.execute(
            "INSERT INTO generations VALUES (?, ?, ?)", (number, data, checksum(number, data))
        )

    def _put_present(self, number: int) -> None:
        self.connection.execute(
            "INSERT OR REPLACE INTO present VALUES (1, ?, ?)", (number, checksum("present", number))
        )

    def _prune(self) -> None:
        """Keeps the latest changes, and of the generations those that they name, the present and the
        highest."""
        self.connection.execute(
            "DELETE FROM changes WHERE seq <= (SELECT max(seq) FROM changes) - ?", (MOST_CHANGES,)
        )
        self.connection.execute("DELETE FROM steps WHERE id NOT IN (SELECT id FROM changes)")
        least = self._row("SELECT record FROM changes ORDER BY seq LIMIT 1")
        if least is not None:
            oldest = msgspec.json.decode(least[0])["base"]
            self.connection.execute(
                "DELETE FROM generations WHERE number < ? AND number NOT IN (SELECT generation FROM present)",
                (oldest,),
            )
