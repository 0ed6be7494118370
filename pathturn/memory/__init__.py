"""In-memory state of a running gateway: open batches, client connections, engines and connections to them."""
