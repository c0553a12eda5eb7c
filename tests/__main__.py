"""Run all tests and close with their count."""

import pathlib
import sys
import unittest

_ROOT = pathlib.Path(__file__).parent
_KNOWN_RED = _ROOT.parent / 'KNOWN-RED.txt'
_TEST_FIELD = 'test:'


def _read_known_red() -> frozenset[str]:
    """Read the ids of tests that fail for a recorded, open fault."""
    if not _KNOWN_RED.exists():
        return frozenset()
    lines = _KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return frozenset(
        line.removeprefix(_TEST_FIELD).strip()
        for line in lines
        if line.startswith(_TEST_FIELD)
    )


def _list_failed(outcome: unittest.TestResult) -> list[str]:
    broken = (*outcome.failures, *outcome.errors)
    unexpected = outcome.unexpectedSuccesses
    return [test.id() for test, _ in broken] + [
        test.id() for test in unexpected
    ]


def main() -> int:
    """Run the tests; return the exit code."""
    suite = unittest.defaultTestLoader.discover(
        str(_ROOT),
        top_level_dir=str(_ROOT.parent),
    )
    outcome = unittest.TextTestRunner(verbosity=2).run(suite)
    failed = _list_failed(outcome)
    known = _read_known_red()
    surprising = [test for test in failed if test not in known]
    for test in failed:
        sys.stdout.write(f'red: {test}\n')
    passed = outcome.testsRun - len(failed) - len(outcome.skipped)
    sys.stdout.write(f'{passed} passed, {len(failed)} failed\n')
    return 0 if outcome.testsRun and not surprising else 1


if __name__ == '__main__':
    sys.exit(main())
