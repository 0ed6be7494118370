"""What `KNOWN-RED.txt` lets pass and what it does not, in a project of its own."""

import subprocess
import sys
from pathlib import Path

import pytest

TESTS = """
def test_red():
    assert False

def test_other():
    assert False

def test_green():
    pass
"""


RED = "tests/test_it.py::test_red | c | 1\n"
COMMAND = "python -m benchmarks soak --seeds 7:1 | 7 | one request lost | 41\n"


def played(folder: Path, lines: str, deselected: str = "test_other") -> tuple[int, str]:
    here = Path(__file__).resolve().parent
    (folder / "tests").mkdir()
    (folder / "tests" / "test_it.py").write_text(TESTS)
    (folder / "tests" / "conftest.py").write_text('pytest_plugins = ["known_red"]\n')
    (folder / "pytest.ini").write_text(f"[pytest]\ntestpaths = tests\npythonpath = {here}\n")
    (folder / "KNOWN-RED.txt").write_text(lines)
    words = ["-m", "pytest", "-p", "no:cacheprovider", f"--deselect=tests/test_it.py::{deselected}"]
    told = subprocess.run([sys.executable, *words], cwd=folder, capture_output=True, text=True, check=False)
    return told.returncode, told.stdout + told.stderr


def test_the_listed_test_may_fail_and_is_printed(tmp_path) -> None:
    code, told = played(tmp_path, "tests/test_it.py::test_red | the engine forgets | 32\n")
    assert code == 0 and "known red: tests/test_it.py::test_red: the engine forgets (issue 32)" in told


def test_a_fault_that_a_command_shows_is_printed(tmp_path) -> None:
    code, told = played(tmp_path, RED + COMMAND)
    assert code == 0
    assert "known red: python -m benchmarks soak --seeds 7:1 (seed 7): one request lost (issue 41)" in told


def test_the_list_is_not_cut_off_at_a_number(tmp_path) -> None:
    code, told = played(tmp_path, RED + "".join(COMMAND.replace("7", str(each)) for each in range(10, 15)))
    assert code == 0 and told.count("known red: ") == 6


@pytest.mark.parametrize(
    ("lines", "deselected", "why"),
    [
        ("", "test_other", "1 failed"),
        (RED, "none", "1 failed"),
        (RED + "tests/test_it.py::test_green | c | 1\n", "test_other", "strict"),
        (RED + "tests/test_it.py::test_gone | c | 1\n", "test_other", "no such test"),
        ("tests/test_it.py::test_red because\n", "test_other", "KNOWN-RED.txt:1"),
        (RED * 2, "test_other", "twice"),
        ("tests/test_it.py::test_red | c | soon\n", "test_other", "KNOWN-RED.txt:1: the issue is no number"),
        (RED + COMMAND.replace(" | 7 |", " |  |"), "test_other", "KNOWN-RED.txt:2: neither"),
        (RED + COMMAND.replace(" | 7 |", " | seven |"), "test_other", "KNOWN-RED.txt:2: the seed"),
        (RED + COMMAND.replace(" | 41", ""), "test_other", "KNOWN-RED.txt:2: the issue is no number"),
        (RED + COMMAND * 2, "test_other", "KNOWN-RED.txt:3: stands there twice"),
    ],
)
def test_any_other_failure_or_line_fails_the_run(tmp_path, lines, deselected, why) -> None:
    code, told = played(tmp_path, lines, deselected)
    assert code != 0 and why in told
