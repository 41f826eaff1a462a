"""Runs every test of the tree and passes over only the known red ones.

A line of KNOWN-RED.txt that begins with a test's id names a test that may
fail; all others must pass.
"""

import pathlib
import sys
import unittest
from collections import abc

ROOT = pathlib.Path(__file__).resolve().parents[2]


def known_red(path: pathlib.Path) -> frozenset[str]:
    """Returns the ids of tests that may fail."""
    if not path.exists():
        return frozenset()
    lines = path.read_text().splitlines()
    return frozenset(
        line.split()[0]
        for line in lines
        if line.strip() and not line.startswith('#')
    )


def failed_ids(outcome: unittest.TestResult) -> list[str]:
    """Returns the ids of tests that failed, errors included."""
    failures = [*outcome.failures, *outcome.errors]
    broken = [case.id() for case, _ in failures]
    broken.extend(case.id() for case in outcome.unexpectedSuccesses)
    return broken


def main(arguments: abc.Sequence[str]) -> int:
    """Runs the tests under the folders named, all by default."""
    source = ROOT / 'src'
    folders = arguments or [str(source)]
    suite = unittest.TestSuite(
        unittest.defaultTestLoader.discover(folder, top_level_dir=str(source))
        for folder in folders
    )
    outcome = unittest.TextTestRunner(verbosity=1).run(suite)
    red = known_red(ROOT / 'KNOWN-RED.txt')
    failed = failed_ids(outcome)
    for name in sorted(red):
        sys.stdout.write(f'known red: {name}\n')
    unexpected = [case for case in failed if case not in red]
    passed = outcome.testsRun - len(failed)
    sys.stdout.write(f'{passed} passed, {len(unexpected)} failed\n')
    return 1 if unexpected or not outcome.testsRun else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
