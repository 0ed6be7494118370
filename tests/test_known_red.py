"""Which failures `KNOWN-RED.txt` allows and which not, each checked in a generated project."""

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


TEST_ENTRY = "tests/test_it.py::test_red | c | 1\n"
COMMAND_ENTRY = "python -m benchmarks soak --seeds 7:1 | 7 | one request lost | 41\n"


def run_pytest(folder: Path, lines: str, deselected: str = "test_other") -> tuple[int, str]:
    plugin_folder = Path(__file__).resolve().parent
    (folder / "tests").mkdir()
    (folder / "tests" / "test_it.py").write_text(TESTS)
    (folder / "tests" / "conftest.py").write_text('pytest_plugins = ["known_red"]\n')
    (folder / "pytest.ini").write_text(f"[pytest]\ntestpaths = tests\npythonpath = {plugin_folder}\n")
    (folder / "KNOWN-RED.txt").write_text(lines)
    arguments = ["-m", "pytest", "-p", "no:cacheprovider", f"--deselect=tests/test_it.py::{deselected}"]
    result = subprocess.run(
        [sys.executable, *arguments], cwd=folder, capture_output=True, text=True, check=False
    )
    return result.returncode, result.stdout + result.stderr


def test_a_listed_test_may_fail_and_is_printed(tmp_path) -> None:
    code, output = run_pytest(tmp_path, "tests/test_it.py::test_red | the engine forgets | 32\n")
    assert code == 0 and "known red: tests/test_it.py::test_red: the engine forgets (issue 32)" in output


def test_a_listed_command_is_printed(tmp_path) -> None:
    code, output = run_pytest(tmp_path, TEST_ENTRY + COMMAND_ENTRY)
    assert code == 0
    assert "known red: python -m benchmarks soak --seeds 7:1 (seed 7): one request lost (issue 41)" in output


def test_all_entries_are_printed(tmp_path) -> None:
    code, output = run_pytest(
        tmp_path, TEST_ENTRY + "".join(COMMAND_ENTRY.replace("7", str(number)) for number in range(10, 15))
    )
    assert code == 0 and output.count("known red: ") == 6


@pytest.mark.parametrize(
    ("lines", "deselected", "reason"),
    [
        ("", "test_other", "1 failed"),
        (TEST_ENTRY, "none", "1 failed"),
        (TEST_ENTRY + "tests/test_it.py::test_green | c | 1\n", "test_other", "strict"),
        (TEST_ENTRY + "tests/test_it.py::test_gone | c | 1\n", "test_other", "no such test"),
        ("tests/test_it.py::test_red because\n", "test_other", "KNOWN-RED.txt:1"),
        (TEST_ENTRY * 2, "test_other", "duplicate entry"),
        (
            "tests/test_it.py::test_red | c | soon\n",
            "test_other",
            "KNOWN-RED.txt:1: the issue is not a number",
        ),
        (TEST_ENTRY + COMMAND_ENTRY.replace(" | 7 |", " |  |"), "test_other", "KNOWN-RED.txt:2: neither"),
        (
            TEST_ENTRY + COMMAND_ENTRY.replace(" | 7 |", " | seven |"),
            "test_other",
            "KNOWN-RED.txt:2: the seed",
        ),
        (
            TEST_ENTRY + COMMAND_ENTRY.replace(" | 41", ""),
            "test_other",
            "KNOWN-RED.txt:2: the issue is not a number",
        ),
        (TEST_ENTRY + COMMAND_ENTRY * 2, "test_other", "KNOWN-RED.txt:3: duplicate entry"),
    ],
)
def test_an_unlisted_failure_or_invalid_line_fails_the_run(tmp_path, lines, deselected, reason) -> None:
    code, output = run_pytest(tmp_path, lines, deselected)
    assert code != 0 and reason in output
