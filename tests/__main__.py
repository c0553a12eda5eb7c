"""Run all tests and print how many passed and failed.

Failures of tests that KNOWN-RED.txt lists are printed, but don't fail the run.
"""

import pathlib
import sys
import unittest

_TEST_FOLDER = pathlib.Path(__file__).parent
_KNOWN_FAILURES_FILE = _TEST_FOLDER.parent / 'KNOWN-RED.txt'
_TEST_ID_PREFIX = 'test:'


def _read_known_failing_ids() -> frozenset[str]:
    """Read the ids of the tests that KNOWN-RED.txt lists."""
    if not _KNOWN_FAILURES_FILE.exists():
        return frozenset()
    lines = _KNOWN_FAILURES_FILE.read_text(encoding='utf-8').splitlines()
    return frozenset(
        line.removeprefix(_TEST_ID_PREFIX).strip()
        for line in lines
        if line.startswith(_TEST_ID_PREFIX)
    )


def _list_failed_ids(run_outcome: unittest.TestResult) -> list[str]:
    broken = (*run_outcome.failures, *run_outcome.errors)
    unexpected_successes = run_outcome.unexpectedSuccesses
    return [test.id() for test, _ in broken] + [
        test.id() for test in unexpected_successes
    ]


def main() -> int:
    """Run the tests and return the exit code of the process."""
    suite = unittest.defaultTestLoader.discover(
        str(_TEST_FOLDER),
        top_level_dir=str(_TEST_FOLDER.parent),
    )
    run_outcome = unittest.TextTestRunner(verbosity=2).run(suite)
    failed_ids = _list_failed_ids(run_outcome)
    known_failing_ids = _read_known_failing_ids()
    new_failed_ids = [
        test_id for test_id in failed_ids if test_id not in known_failing_ids
    ]
    for test_id in failed_ids:
        sys.stdout.write(f'red: {test_id}\n')
    passed_count = (
        run_outcome.testsRun - len(failed_ids) - len(run_outcome.skipped)
    )
    sys.stdout.write(f'{passed_count} passed, {len(failed_ids)} failed\n')
    return 0 if run_outcome.testsRun and not new_failed_ids else 1


if __name__ == '__main__':
    sys.exit(main())
