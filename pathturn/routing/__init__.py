"""Routing of batches by the operator's document: validation, compiled tables, engine pools and limits."""
