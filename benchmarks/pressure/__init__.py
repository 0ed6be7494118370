"""`python -m benchmarks pressure [--quick]`: a gateway process under its memory limit, beside clients that
use up memory or time, and another client whose answers are judged."""

from benchmarks.pressure.play import run

__all__ = ["run"]
