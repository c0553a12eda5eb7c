"""Run all tests and print how many passed and failed.

Failures that KNOWN-RED.txt lists are printed, but don't fail the run.
"""

import pathlib
import sys
import unittest

_TEST_FOLDER = pathlib.Path(__file__).parent
_KNOWN_FAILURES_FILE = _TEST_FOLDER.parent / 'KNOWN-RED.txt'
_TEST_FIELD = 'test:'


def _read_known_failures() -> frozenset[str]:
    """Read the ids of tests with a recorded failure that is still open."""
    if not _KNOWN_FAILURES_FILE.exists():
        return frozenset()
    lines = _KNOWN_FAILURES_FILE.read_text(encoding='utf-8').splitlines()
    return frozenset(
        line.removeprefix(_TEST_FIELD).strip()
        for line in lines
        if line.startswith(_TEST_FIELD)
    )


def _list_failed_ids(run_outcome: unittest.TestResult) -> list[str]:
    broken = (*run_outcome.failures, *run_outcome.errors)
    unexpected = run_outcome.unexpectedSuccesses
    return [test.id() for test, _ in broken] + [
        test.id() for test in unexpected
    ]


def main() -> int:
    """Run the tests and return the exit code of the process."""
    suite = unittest.defaultTestLoader.discover(
        str(_TEST_FOLDER),
        top_level_dir=str(_TEST_FOLDER.parent),
    )
    run_outcome = unittest.TextTestRunner(verbosity=2).run(suite)
    failed = _list_failed_ids(run_outcome)
    known_failures = _read_known_failures()
    new_failures = [test for test in failed if test not in known_failures]
    for test in failed:
        sys.stdout.write(f'red: {test}\n')
    passed = run_outcome.testsRun - len(failed) - len(run_outcome.skipped)
    sys.stdout.write(f'{passed} passed, {len(failed)} failed\n')
    return 0 if run_outcome.testsRun and not new_failures else 1


if __name__ == '__main__':
    sys.exit(main())
