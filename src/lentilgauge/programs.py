"""Command-line entry point that all programs share."""

import warnings
from collections.abc import Callable, Mapping

import fire

Command = Callable[..., None]


def run_program(commands: Command | Mapping[str, Command]) -> None:
    """Run the only command, or the one that the first argument names."""
    # Fire first parses each argument as a Python literal, and the compiler
    # warns about paths that resemble malformed numbers.
    warnings.simplefilter('ignore', SyntaxWarning)
    fire.Fire(commands)
