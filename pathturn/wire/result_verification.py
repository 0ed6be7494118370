"""Decides which identical results need no verification. Does no I/O.

A result that equals a recent one on its connection may be a duplicate of that, and is verified: requested
once more on another connection. Engines that answer from a cache would thereby get every request twice. So
after enough verifications without a single duplicate, a result that a statement is known to have is accepted
as it comes. The first duplicate that any engine is seen to send ends this for as long as that engine is
listed.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from pathturn.memory.engine_registry import Endpoint
from pathturn.wire.engine_protocol import ResultFingerprint

# Verifications, of results of all engines together, before any result is accepted without one.
REQUIRED_VERIFICATIONS = 10
# Time after these in which a duplicate of one of the verified results would have come.
OBSERVATION_US = 1_000_000
# Verifications in a row by which the result of one statement is known.
REQUIRED_FOR_STATEMENT = 3
MAX_STATEMENTS = 1024


class StatementKey(NamedTuple):
    """Identifies a page of a statement's result at an engine; the first one has no number."""

    endpoint: Endpoint
    group: str
    digest: bytes
    page: str | None = None


@dataclass(slots=True)
class VerifiedResult:
    """The last verified result of a statement, and how many times in a row it was the same."""

    fingerprint: ResultFingerprint
    verifications: int


class ResultVerification:
    """What one gateway has learned of its engines' results."""

    def __init__(self, clock: Callable[[], int]) -> None:
        self.clock = clock
        self.duplicating_endpoints: set[Endpoint] = set()
        self.verifications = 0
        # When engines are first trusted to send no duplicates; None before there are enough verifications.
        self.trusted_from_us: int | None = None
        self.verified_results: OrderedDict[StatementKey, VerifiedResult] = OrderedDict()

    def engines_trusted(self) -> bool:
        """Return whether engines are taken to send no duplicates."""
        return self.trusted_from_us is not None and self.clock() >= self.trusted_from_us

    def needs_statements(self) -> bool:
        """Return whether the results of any statement are known, so that new ones are to be recorded."""
        return bool(self.verified_results)

    def is_known(self, key: StatementKey, fingerprint: ResultFingerprint) -> bool:
        """Return whether a result of the statement needs no verification."""
        verified = self.verified_results.get(key)
        return (
            verified is not None
            and verified.fingerprint == fingerprint
            and verified.verifications >= REQUIRED_FOR_STATEMENT
            and self.engines_trusted()
        )

    def record_result(self, key: StatementKey, fingerprint: ResultFingerprint) -> None:
        """Record a result of the statement; one that differs from the verified ones makes it unknown."""
        verified = self.verified_results.get(key)
        if verified is not None and verified.fingerprint != fingerprint:
            del self.verified_results[key]

    def record_verified(self, key: StatementKey, fingerprint: ResultFingerprint) -> None:
        """Record that a suspected result turned out to be the statement's own."""
        self.record_result(key, fingerprint)
        verified = self.verified_results.setdefault(key, VerifiedResult(fingerprint, 0))
        verified.verifications += 1
        self.verified_results.move_to_end(key)
        if len(self.verified_results) > MAX_STATEMENTS:
            self.verified_results.popitem(last=False)
        if self.duplicating_endpoints:
            return
        self.verifications += 1
        if self.verifications == REQUIRED_VERIFICATIONS:
            self.trusted_from_us = self.clock() + OBSERVATION_US

    def record_duplicate(self, endpoint: Endpoint) -> None:
        """Record that an engine has sent more responses than there were requests."""
        self.duplicating_endpoints.add(endpoint)
        self._start_again()

    def retain(self, endpoints: set[Endpoint]) -> None:
        """Forget all engines but these."""
        self.duplicating_endpoints &= endpoints
        for key in [key for key in self.verified_results if key.endpoint not in endpoints]:
            del self.verified_results[key]

    def _start_again(self) -> None:
        self.verifications = 0
        self.trusted_from_us = None
