"""Lays a variant of an operators' site where their bench can play it.

    python deploy/sites/lay.py [GIVEN]

A variant's file says what it changes of the site that it names as `base`: a table changes the keys it holds,
and entries of a list of tables are found by their `name` (`[class.lookup]` changes the class of that name).
The site itself, and what the bench wants beside it, come from the operators' folder GIVEN (`../given` beside
the repository) and go to `deploy/sites/laid/VARIANT`, which git ignores. Ends with code 2 and one line where
that folder is missing or a variant changes what its base does not have."""

import shutil
import sys
import tomllib
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
BESIDE = ("real.json", "wire.json", "unlock.txt", "design.json")  # what the bench reads next to a site


class Unusable(Exception):
    """A variant that cannot be laid; its text says where, what and how to mend it."""


def changed(told: Any, change: Any, where: str) -> Any:
    """`told` with the changes in it; what the base does not have is refused, as it would change nothing."""
    if isinstance(told, list) and isinstance(change, dict):
        entries = {each["name"]: each for each in told if isinstance(each, dict) and "name" in each}
        if unknown := change.keys() - entries.keys():
            raise Unusable(
                f"{where}: no entry named {', '.join(sorted(unknown))}; there are {', '.join(entries)}"
            )
        return [changed(each, change.get(each["name"], {}), f"{where}.{each['name']}") for each in told]
    if not isinstance(change, dict):
        return change
    if not isinstance(told, dict):
        raise Unusable(f"{where}: not a table in the base; give a value")
    if unknown := change.keys() - told.keys():
        raise Unusable(f"{where}: the base has no {', '.join(sorted(unknown))}; take it out or correct it")
    return {
        name: changed(value, change[name], f"{where}.{name}") if name in change else value
        for name, value in told.items()
    }


def text(value: Any) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, list):
        return f"[{', '.join(map(text, value))}]"
    return f'"{value}"' if isinstance(value, str) else str(value)


def table(told: dict[str, Any], path: str = "") -> list[str]:
    """The lines of a TOML table: plain values first, as they would belong to the last table else."""
    lines, tables = [], []
    for name, value in told.items():
        whole = f"{path}.{name}" if path else name
        if isinstance(value, dict):
            tables += ["", f"[{whole}]", *table(value, whole)]
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            for each in value:
                tables += ["", f"[[{whole}]]", *table(each, whole)]
        else:
            lines.append(f"{name} = {text(value)}")
    return lines + tables


def lay(variant: Path, given: Path, laid: Path) -> Path:
    """Writes the variant's folder anew and returns its site file."""
    change = tomllib.loads(variant.read_text())
    sites = given / "kit" / "sites"
    base = sites / change.pop("base")
    try:
        told = tomllib.loads(base.read_text())
    except OSError as fault:
        raise Unusable(f"{base}: {fault.strerror}; name the operators' folder: lay.py GIVEN") from None
    site = changed(told, change, variant.name) | {"name": variant.stem}
    folder = laid / variant.stem
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    for name in BESIDE:
        if (sites / name).exists():
            shutil.copyfile(sites / name, folder / name)
    target = folder / f"{variant.stem}.toml"
    target.write_text("\n".join(table(site)) + "\n")
    return target


def main(words: list[str]) -> int:
    given = Path(words[0]) if words else HERE.parents[2] / "given"
    try:
        for variant in sorted(HERE.glob("*.toml")):
            print(lay(variant, given, HERE / "laid"))
    except Unusable as fault:
        print(f"lay: {fault}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
