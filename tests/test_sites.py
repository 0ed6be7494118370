"""Variants of a site are built from a stand-in for the operators' folder, which CI does not have."""

import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

SITES = Path(__file__).resolve().parents[1] / "deploy" / "sites"
BASE = """
name = "base"
[net]
zones = ["a", "b"]
client_ms = [0.25, 1.2]
[load]
even = true
[[class]]
name = "lookup"
work_ms = [1, 2]
[[class]]
name = "load"
effect = "keyed"
[[tier]]
name = "fleet"
[[tier.kind]]
name = "std"
cores = 8
[tier.report]
how = "answers"
"""


@pytest.fixture
def folder(tmp_path):
    """Return the script's folder in a temporary repository, beside a copy of the operators' folder layout."""
    sites = tmp_path / "given" / "kit" / "sites"
    sites.mkdir(parents=True)
    (sites / "base.toml").write_text(BASE)
    for name in ("real.json", "wire.json", "unlock.txt"):
        (sites / name).write_text(name)
    script_folder = tmp_path / "repository" / "deploy" / "sites"
    script_folder.mkdir(parents=True)
    (script_folder / "lay.py").write_text((SITES / "lay.py").read_text())
    return script_folder


def run(folder: Path, *arguments: str) -> tuple[int, str, str]:
    result = subprocess.run(
        [sys.executable, str(folder / "lay.py"), *arguments], capture_output=True, text=True, check=False
    )
    return result.returncode, result.stdout, result.stderr


def test_a_variant_changes_only_the_keys_it_names(folder) -> None:
    (folder / "other.toml").write_text(
        'base = "base.toml"\n[net]\nzones = ["x"]\n[class.load]\nname = "put"\neffect = "unsafe"\n'
        "[tier.fleet.kind.std]\ncores = 4\n"
    )
    code, out, err = run(folder)
    assert (code, err) == (0, "") and out.strip().endswith("deploy/sites/laid/other/other.toml")
    output = folder / "laid" / "other"
    expected = tomllib.loads(BASE)
    expected["name"] = "other"
    expected["net"]["zones"] = ["x"]
    expected["class"][1] = {"name": "put", "effect": "unsafe"}
    expected["tier"][0]["kind"][0]["cores"] = 4
    assert tomllib.loads((output / "other.toml").read_text()) == expected
    assert all((output / name).read_text() == name for name in ("real.json", "wire.json", "unlock.txt"))


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ("[net]\nspeed = 1", "net: the base has no speed"),
        ("[class.report]\nworth = 1", "no entry named report"),
        ("[name]\nx = 1", "name: not a table"),
        ("[tier.fleet.kind.std]\ncore = 1", "has no core"),
    ],
)
def test_a_key_missing_from_the_base_is_rejected_with_one_line(folder, change, reason) -> None:
    (folder / "other.toml").write_text(f'base = "base.toml"\n{change}\n')
    code, _, err = run(folder)
    assert code == 2 and reason in err and len(err.splitlines()) == 1


def test_a_missing_operators_folder_is_reported_in_one_line(folder) -> None:
    (folder / "other.toml").write_text('base = "base.toml"\n')
    code, _, err = run(folder, str(folder / "nowhere"))
    assert code == 2 and len(err.splitlines()) == 1 and "name the operators' folder" in err


def test_variants_are_valid_toml_and_generated_sites_are_ignored_by_git() -> None:
    for variant in SITES.glob("*.toml"):
        assert tomllib.loads(variant.read_text())["base"].endswith(".toml")
    command = ["git", "check-ignore", "-q", str(SITES / "laid" / "x.toml")]
    assert subprocess.run(command, cwd=SITES, check=False).returncode in (0, 128)  # 128: not in a checkout
