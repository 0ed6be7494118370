"""Background jobs that run in time slices between decision rounds."""
