"""`python -m benchmarks NAME [--quick]`: measures, says how it goes, and ends with one JSON object of
figures."""

import argparse
import importlib
import json
import sys
import time

NAMES = ("change", "fleet", "identical", "pressure", "soak")


def seeds(text: str) -> tuple[int, int]:
    """Read FIRST:COUNT, both whole numbers and COUNT at least 1."""
    first, _, count = text.partition(":")
    if not (first.isdecimal() and count.isdecimal() and int(count)):
        raise argparse.ArgumentTypeError(f"not FIRST:COUNT, as 1:50: {text}")
    return int(first), int(count)


def main() -> None:
    parser = argparse.ArgumentParser(prog="benchmarks", description=__doc__)
    parser.add_argument("name", choices=NAMES)
    parser.add_argument("--quick", action="store_true", help="under 45 s, on fewer cases")
    parser.add_argument("--seeds", type=seeds, metavar="FIRST:COUNT", help="soak: which plays")
    told = parser.parse_args()
    if told.seeds and told.name != "soak":
        parser.error("--seeds goes with soak alone")
    options = {"seeds": told.seeds} if told.seeds else {}
    began = time.monotonic()
    figures = importlib.import_module(f"benchmarks.{told.name}").run(
        told.quick,
        lambda text: print(f"{time.monotonic() - began:6.1f} s  {text}", file=sys.stderr),
        **options,
    )
    print(json.dumps(figures | {"took_s": round(time.monotonic() - began, 1)}))


if __name__ == "__main__":
    main()
