"""In-memory state of a running gateway: open batches, client sessions, engines and connections to them."""
