"""Tests of the weakened builds with which the soak is tested."""

import inspect
import types
import unittest
from collections.abc import Callable
from unittest import mock

from lentilgauge.load import weakened


def call_as_declared(
    original: Callable[..., object], replacement: object
) -> None:
    """Bind the arguments of one function to another; raise if they don't fit.

    All parameters are given once, and once only those without a default.
    """
    assert callable(replacement)
    parameters = inspect.signature(original).parameters.values()
    required = [
        parameter
        for parameter in parameters
        if parameter.default is parameter.empty
    ]
    for given in (list(parameters), required):
        positional = [
            parameter
            for parameter in given
            if parameter.kind is not parameter.KEYWORD_ONLY
        ]
        inspect.signature(replacement).bind(
            *positional,
            **{
                parameter.name: parameter
                for parameter in given
                if parameter not in positional
            },
        )


class WeakenedTest(unittest.TestCase):
    """A replacement that can't be called fails otherwise than intended."""

    def test_replacements_are_called_as_what_they_replace(self) -> None:
        """Guard against functions whose parameters have changed since."""
        for rule, weaken in weakened.WEAKENINGS.items():
            with (
                self.subTest(rule),
                mock.patch.object(weakened, '_replace') as replace,
            ):
                weaken()
                self.assertTrue(replace.call_args_list)
                for call in replace.call_args_list:
                    self.check_replacement(*call.args)

    def check_replacement(
        self, module: types.ModuleType, name: str, replacement: object
    ) -> None:
        """Check that a replacement takes the arguments of the original."""
        original = getattr(module, name)
        call_as_declared(original, replacement)
        self.assertEqual(
            inspect.iscoroutinefunction(original),
            inspect.iscoroutinefunction(replacement),
        )

    def test_other_parameters_are_noticed(self) -> None:
        """Mutation test: a replacement that lacks a parameter doesn't pass."""
        with self.assertRaises(TypeError):
            call_as_declared(lambda _first, _second: None, lambda _: None)
