"""`python -m benchmarks NAME [--quick]`: measures, says how it goes, and ends with one JSON object of
figures."""

import argparse
import importlib
import json
import sys
import time

NAMES = ("change", "fleet")


def main() -> None:
    parser = argparse.ArgumentParser(prog="benchmarks", description=__doc__)
    parser.add_argument("name", choices=NAMES)
    parser.add_argument("--quick", action="store_true", help="under 45 s, on fewer cases")
    told = parser.parse_args()
    began = time.monotonic()
    figures = importlib.import_module(f"benchmarks.{told.name}").run(
        told.quick, lambda text: print(f"{time.monotonic() - began:6.1f} s  {text}", file=sys.stderr))
    print(json.dumps(figures | {"took_s": round(time.monotonic() - began, 1)}))


if __name__ == "__main__":
    main()
