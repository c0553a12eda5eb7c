"""Start programs from the command line."""

import warnings
from collections.abc import Callable, Mapping

import fire

Command = Callable[..., None]


def run_program(commands: Command | Mapping[str, Command]) -> None:
    """Run a command, or the one of several that the arguments name."""
    # The library tries each argument as a literal first, and some paths
    # look enough like numbers for the compiler to warn about them.
    warnings.simplefilter('ignore', SyntaxWarning)
    fire.Fire(commands)
