"""Assembly of a gateway process: settings, limits, logging, start and shutdown."""
