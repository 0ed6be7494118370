"""The variants of a site: laid from a folder like the operators', which CI does not have."""

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
    """The command in a repository of its own, beside a folder as the operators lay it."""
    (sites := tmp_path / "given" / "kit" / "sites").mkdir(parents=True)
    (sites / "base.toml").write_text(BASE)
    for name in ("real.json", "wire.json", "unlock.txt"):
        (sites / name).write_text(name)
    (here := tmp_path / "repository" / "deploy" / "sites").mkdir(parents=True)
    (here / "lay.py").write_text((SITES / "lay.py").read_text())
    return here


def run(folder: Path, *words: str) -> tuple[int, str, str]:
    told = subprocess.run(
        [sys.executable, str(folder / "lay.py"), *words], capture_output=True, text=True, check=False
    )
    return told.returncode, told.stdout, told.stderr


def test_a_variant_changes_what_it_names_and_nothing_else(folder) -> None:
    (folder / "other.toml").write_text(
        'base = "base.toml"\n[net]\nzones = ["x"]\n[class.load]\nname = "put"\neffect = "unsafe"\n'
        "[tier.fleet.kind.std]\ncores = 4\n"
    )
    code, out, err = run(folder)
    assert (code, err) == (0, "") and out.strip().endswith("deploy/sites/laid/other/other.toml")
    laid = folder / "laid" / "other"
    wanted = tomllib.loads(BASE)
    wanted["name"], wanted["net"]["zones"] = "other", ["x"]
    wanted["class"][1] = {"name": "put", "effect": "unsafe"}
    wanted["tier"][0]["kind"][0]["cores"] = 4
    assert tomllib.loads((laid / "other.toml").read_text()) == wanted
    assert all((laid / name).read_text() == name for name in ("real.json", "wire.json", "unlock.txt"))


@pytest.mark.parametrize(
    ("change", "why"),
    [
        ("[net]\nspeed = 1", "net: the base has no speed"),
        ("[class.report]\nworth = 1", "no entry named report"),
        ("[name]\nx = 1", "name: not a table"),
        ("[tier.fleet.kind.std]\ncore = 1", "has no core"),
    ],
)
def test_what_the_base_does_not_have_is_refused_in_one_line(folder, change, why) -> None:
    (folder / "other.toml").write_text(f'base = "base.toml"\n{change}\n')
    code, _, err = run(folder)
    assert code == 2 and why in err and len(err.splitlines()) == 1


def test_without_the_operators_folder_it_ends_with_one_clear_line(folder) -> None:
    (folder / "other.toml").write_text('base = "base.toml"\n')
    code, _, err = run(folder, str(folder / "nowhere"))
    assert code == 2 and len(err.splitlines()) == 1 and "name the operators' folder" in err


def test_the_variants_are_sound_and_nothing_laid_is_committed() -> None:
    for variant in SITES.glob("*.toml"):
        assert tomllib.loads(variant.read_text())["base"].endswith(".toml")
    told = ["git", "check-ignore", "-q", str(SITES / "laid" / "x.toml")]
    assert subprocess.run(told, cwd=SITES, check=False).returncode in (0, 128)  # 128: not in a checkout
