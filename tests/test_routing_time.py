"""Test that the time to route a request doesn't depend on its path."""

import collections
import dataclasses
import unittest
from collections.abc import Mapping

from lentilgauge.services import routes
from tests import gateway_fixtures

_LONGEST_PATH = 65_536


class CountingRoutes(collections.UserDict[tuple[str, str], routes.Route]):
    """Routes that count the characters of the prefixes that are looked up."""

    def __init__(
        self, route_by_host_and_prefix: Mapping[tuple[str, str], routes.Route]
    ) -> None:
        """Start with a count of 0."""
        super().__init__(route_by_host_and_prefix)
        self.characters = 0

    def get(  # type: ignore[override]
        self, key: tuple[str, str], default: routes.Route | None = None
    ) -> routes.Route | None:
        """Look up a route."""
        self.characters += len(key[1])
        return super().get(key, default)


class RoutingTimeTest(unittest.TestCase):
    """Routes to two services, with a path that is chosen by the caller."""

    def setUp(self) -> None:
        """Make a configuration of two routes with short prefixes."""
        made = gateway_fixtures.make_configuration()
        self.routes = CountingRoutes(made.route_by_host_and_prefix)
        self.configuration = dataclasses.replace(
            made, route_by_host_and_prefix=self.routes
        )

    def find(self, path: str) -> routes.Route | None:
        """Find the route of a path."""
        return routes.find_route(
            self.configuration, gateway_fixtures.HOST, path
        )

    def test_a_path_of_slashes_takes_no_more_than_a_short_one(self) -> None:
        """Guard against a loop that is taken by one caller's path."""
        longest = max(len(prefix) for _, prefix in self.routes)
        for start in ('/', '/none/', '/read/'):
            self.routes.characters = 0
            self.find(start + '/' * _LONGEST_PATH)
            self.assertLessEqual(self.routes.characters, longest * longest)

    def test_a_long_path_finds_its_route(self) -> None:
        """Guard against a prefix that is cut off with the path."""
        for path in ('/read/', '/read/x', f'/read/{"/" * _LONGEST_PATH}'):
            found = self.find(path)
            assert found is not None
            self.assertEqual(found.name, 'read')
        for path in ('/read', '/none/', '', '/'):
            self.assertIsNone(self.find(path))


if __name__ == '__main__':
    unittest.main()
