"""Decides when a cancelled execution at an engine is confirmed to have ended. Does no I/O.

An execution that may still run is unresolved; batches of the same ordering key wait until it is resolved.
"""

from enum import Enum

from pathturn.wire.engine_protocol import POLL_RESPONSE_US, UNPOLLED_LIFETIME_US

# An engine answers each request within this time, so by then it has processed everything that had arrived
# when it answered a request on another connection.
SETTLE_US = POLL_RESPONSE_US
# A reachable engine ends a query that is not polled within this time.
UNPOLLED_END_US = UNPOLLED_LIFETIME_US + POLL_RESPONSE_US


class CancelReply(Enum):
    """The result of one cancel request."""

    CONFIRMED = "confirmed"  # the engine accepted the cancellation
    REFUSED = "refused"  # the engine accepts no new connection: it has exited, drains, or is at its limit
    NO_REPLY = "no_reply"  # no response in time, or none that can be trusted


class TerminationProof:
    """Collects the replies to cancel requests on other connections than the one that carried the start.

    If the start was not acknowledged, a single confirmation proves nothing: the start may be unread in the
    engine's socket or still in transit, and be processed after the cancellation. A refusal proves nothing
    either, even if connections were reset before: a draining engine continues its queries, and the network
    resets connections too. A missing reply proves nothing and discards the replies before it: during a
    network partition a query has been seen to outlast its time limit.
    """

    def __init__(self, start_acknowledged: bool, start_arrival_limit_us: int) -> None:
        """`start_acknowledged` tells whether the engine has answered the start or a request about it; if
        not, the start may still reach it until `start_arrival_limit_us`."""
        self.start_acknowledged = start_acknowledged
        self.start_arrival_limit_us = start_arrival_limit_us
        self.last_reply: CancelReply | None = None
        self.since_us = 0

    def record(self, reply: CancelReply, now_us: int) -> bool:
        """Record a reply; return whether the execution is confirmed to have ended."""
        if reply is not self.last_reply:
            self.last_reply = reply
            self.since_us = now_us
        if reply is CancelReply.NO_REPLY:
            return False
        if reply is CancelReply.CONFIRMED and self.start_acknowledged:
            return True
        required_us = SETTLE_US if reply is CancelReply.CONFIRMED else UNPOLLED_END_US
        return now_us >= self.start_arrival_limit_us and now_us - self.since_us >= required_us
