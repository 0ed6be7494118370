"""The ledger: generations, changes and their steps in SQLite, each step durable before it takes effect.

The database uses a write-ahead log, is locked by one process, and is synced at each commit. A commit is one
append of checksummed frames, so a crash at any point leaves either the state before or the state after. In
addition each row has a checksum of its own, which detects later corruption, and the file records its format
version. A file that fails any of these checks is rejected as a whole with a one-line message.
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
from pathturn.config.read import InvalidDocumentError, parse, read

FORMAT_VERSION = 1
APPLICATION_ID = 0x70617468  # "path" in ASCII; distinguishes ledgers from other programs' SQLite files
MAX_CHANGES = 1_000  # older changes are deleted, and generations that only they name
LOCK_TIMEOUT_S = 1.0
CHECKSUM_BYTES = 16
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
    """The ledger can't be opened or read; the text says what is wrong and how to fix it."""


class LedgerWriteError(Exception):
    """A step could not be made durable and must not take effect."""


class Step(NamedTuple):
    """A change as it was when it entered a state or canary step at `at_us`."""

    at_us: int
    change: Change


# Fixes by words of SQLite's error messages.
FIXES = {
    "locked": "another process has it open; each gateway needs a ledger of its own",
    "unable to open": "make its folder, writable for this user",
    "readonly": "make the file and its folder writable for this user",
    "full": "free space on its disk",
}


def _fix(fault: str) -> str:
    return next(
        (fix for word, fix in FIXES.items() if word in fault), "move the file away to start a new ledger"
    )


def checksum(*parts: object) -> bytes:
    """Return a checksum of the parts, as stored in the `sum` columns."""
    return blake2b(
        b"\x00".join(part if isinstance(part, bytes) else str(part).encode() for part in parts),
        digest_size=CHECKSUM_BYTES,
    ).digest()


class Ledger:
    """Access to the ledger file.

    The methods block on disk I/O, so call them from a worker thread. `probe` is called with a name at each
    point where a crash would leave a different state on disk; tests copy the files there.
    """

    def __init__(self, path: Path, probe: Callable[[str], None] = lambda point: None) -> None:
        self.path, self.probe = path, probe
        try:
            self.connection = sqlite3.connect(
                path, isolation_level=None, check_same_thread=False, timeout=LOCK_TIMEOUT_S
            )
            self._open()
        except sqlite3.Error as fault:
            raise LedgerUnusableError(f"{path}: {fault}; {_fix(str(fault))}") from fault

    def _open(self) -> None:
        for pragma in ("locking_mode=EXCLUSIVE", "journal_mode=WAL", "synchronous=FULL"):
            self.connection.execute("PRAGMA " + pragma)
        (version,) = self.connection.execute("PRAGMA user_version").fetchone()
        (application_id,) = self.connection.execute("PRAGMA application_id").fetchone()
        (tables,) = self.connection.execute("SELECT count(*) FROM sqlite_master").fetchone()
        if not tables and not version:
            self._create()
        elif application_id != APPLICATION_ID:
            raise LedgerUnusableError(f"{self.path}: another program's file; name a new file")
        elif version != FORMAT_VERSION:
            raise LedgerUnusableError(
                f"{self.path}: format {version}, not {FORMAT_VERSION}; use the program that wrote it"
            )
        (found,) = self.connection.execute("PRAGMA quick_check").fetchone()
        if found != "ok":
            raise LedgerUnusableError(f"{self.path}: damaged ({found}); move it away to start a new ledger")

    def _create(self) -> None:
        with self._write("create"):
            for statement in SCHEMA.split(";"):
                if statement.strip():
                    self.connection.execute(statement)
            self.connection.execute(f"PRAGMA application_id={APPLICATION_ID}")
            self.connection.execute(f"PRAGMA user_version={FORMAT_VERSION}")

    @contextmanager
    def _write(self, name: str) -> Iterator[None]:
        """Run the body in one transaction; raises LedgerWriteError if it can't be committed."""
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

    # Reading.
    def current_generation(self) -> int:
        """Return the number of the current generation; 0 in a new ledger."""
        row = self._row("SELECT generation, sum FROM present")
        if row is None:
            return 0
        self._verify(row[1], "present", row[0])
        return row[0]

    def document(self, number: int) -> Document:
        """Return the routing document of a generation."""
        row = self._row("SELECT document, sum FROM generations WHERE number = ?", number)
        if row is None:
            raise LedgerUnusableError(
                f"{self.path}: generation {number} is missing; restore the file, or start a new one"
            )
        self._verify(row[1], number, row[0])
        try:
            return read(parse(row[0]))
        except InvalidDocumentError as fault:
            raise LedgerUnusableError(f"{self.path}: generation {number} is invalid: {fault}") from fault

    def find_change(self, identity: str) -> Change | None:
        """Return the change with this id, if there is one."""
        row = self._row("SELECT record, sum FROM changes WHERE id = ?", identity)
        return None if row is None else self._decode(*row)

    def open_change(self) -> Change | None:
        """Return a change that is neither kept nor rolled back, if there is one."""
        row = self._row("SELECT record, sum FROM changes WHERE state NOT IN ('kept', 'undone')")
        return None if row is None else self._decode(*row)

    def history(self, most: int = 50) -> list[Change]:
        """Return up to `most` changes, latest first."""
        rows = self.connection.execute("SELECT record, sum FROM changes ORDER BY seq DESC LIMIT ?", (most,))
        return [self._decode(*row) for row in rows]

    def steps(self, identity: str) -> list[Step]:
        """Return the recorded steps of a change, oldest first."""
        rows = self.connection.execute(
            "SELECT at_us, record, sum FROM steps WHERE id = ? ORDER BY seq", (identity,)
        )
        return [Step(at_us, self._decode(record, row_sum)) for at_us, record, row_sum in rows]

    def generations(self) -> list[int]:
        """Return the numbers of the stored generations."""
        return [row[0] for row in self.connection.execute("SELECT number FROM generations ORDER BY number")]

    def last_generation(self) -> int:
        """Return the highest number assigned so far; numbers of rolled-back changes are not reused."""
        row = self._row("SELECT max(number) FROM generations")
        return row[0] or 0

    def _row(self, query: str, *values: object) -> tuple | None:
        return self.connection.execute(query, values).fetchone()

    def _verify(self, row_sum: bytes, *parts: object) -> None:
        if checksum(*parts) != row_sum:
            raise LedgerUnusableError(
                f"{self.path}: a row fails its checksum; restore the file, or move it away to start "
                "a new ledger"
            )

    def _decode(self, record: bytes, row_sum: bytes) -> Change:
        self._verify(row_sum, record)
        return msgspec.json.decode(record, type=Change, dec_hook=lambda kind, value: kind(value))

    # Writing, one transaction for each method.
    def initialize(self, document: bytes) -> int:
        """Store the first document of a new ledger as generation 1; it has no trial or predecessor."""
        with self._write("initialize"):
            self._put_document(1, document)
            self._put_current_generation(1)
        return 1

    def record_staged(self, change: Change, document: bytes) -> None:
        """Store a staged change and its document in canonical form."""
        with self._write("staged"):
            self._put_document(change.generation, document)
            self._put_change(change)

    def record_step(self, change: Change) -> None:
        """Store one step of a change; a change that is kept makes its generation the current one."""
        with self._write(change.state):
            self._put_change(change)
            if change.state == "kept":
                self._put_current_generation(change.generation)
            if not change.open:
                self._prune()

    def recover(self, now_us: int) -> Change | None:
        """Roll back what the last process left open; return the last change rolled back, if any."""
        rolled_back = None
        # Several are open if a rollback could not be written and another change was staged after it.
        while (change := self.open_change()) is not None:
            rolled_back = roll_back(change, now_us, f"the gateway ended while it was {change.state}")
            self.record_step(rolled_back)
        return rolled_back

    def _put_change(self, change: Change) -> None:
        record = msgspec.json.encode(
            change, enc_hook=lambda value: int(value) if isinstance(value, int) else float(value)
        )
        row_sum = checksum(record)
        self.connection.execute(
            "INSERT INTO changes (id, state, record, sum) VALUES (?, ?, ?, ?) ON CONFLICT (id) DO UPDATE SET "
            "state = excluded.state, record = excluded.record, sum = excluded.sum",
            (change.id, change.state, record, row_sum),
        )
        self.connection.execute(
            "INSERT INTO steps (id, at_us, record, sum) VALUES (?, ?, ?, ?)",
            (change.id, change.since_us, record, row_sum),
        )

    def _put_document(self, number: int, data: bytes) -> None:
        self.connection.execute(
            "INSERT INTO generations VALUES (?, ?, ?)", (number, data, checksum(number, data))
        )

    def _put_current_generation(self, number: int) -> None:
        self.connection.execute(
            "INSERT OR REPLACE INTO present VALUES (1, ?, ?)", (number, checksum("present", number))
        )

    def _prune(self) -> None:
        """Keep the latest changes, the generations they refer to, the current one and the highest."""
        self.connection.execute(
            "DELETE FROM changes WHERE seq <= (SELECT max(seq) FROM changes) - ?", (MAX_CHANGES,)
        )
        self.connection.execute("DELETE FROM steps WHERE id NOT IN (SELECT id FROM changes)")
        oldest = self._row("SELECT record FROM changes ORDER BY seq LIMIT 1")
        if oldest is not None:
            oldest_base = msgspec.json.decode(oldest[0])["base"]
            self.connection.execute(
                "DELETE FROM generations WHERE number < ? AND number NOT IN (SELECT generation FROM present)",
                (oldest_base,),
            )
