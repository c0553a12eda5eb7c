"""Tests of labels whose values come from the operators' configuration."""

import pathlib
import tempfile
import unittest

from lentilgauge import metrics
from lentilgauge.links import metrics_messages
from lentilgauge.report import scrapes

_NAMES = (
    'plain',
    'a"b',
    r'a\b',
    r'a\n',
    'a\nb',
    'a}b{',
    'a",route="b',
    r'ends\\',
    'a\u2028b\rc',
)


def make_metrics() -> metrics.Metrics:
    """Make metrics with one request of each route name."""
    recorded = metrics.Metrics()
    for name in _NAMES:
        labels = {'service': name, 'route': name}
        recorded.count('requests', **labels, outcome='executed')
        recorded.record_us('request_duration', '', 7000, **labels)
    return recorded


class LabelsTest(unittest.TestCase):
    """Names of routes and services reach readers of metrics unchanged."""

    def test_a_scrape_keeps_each_route_apart(self) -> None:
        """Guard against names that break the text format."""
        text = metrics.render_text(make_metrics())
        self.assertIn(r'route="a\"b"', text)
        self.assertIn(r'route="a\nb"', text)
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'scrape.txt'
            path.write_bytes(text.encode())
            counts_by_route = scrapes.read_scrapes([path])
        self.assertEqual(set(counts_by_route), set(_NAMES))
        for counts in counts_by_route.values():
            self.assertEqual(counts.count_by_outcome, {'executed': 1})
            self.assertEqual(counts.count_by_bound_ms[10], 1)

    def test_messages_keep_label_pairs(self) -> None:
        """Guard against counters of several routes under one name."""
        message = metrics_messages.export_metrics(make_metrics())
        for exported in (message.counters, message.histograms):
            routes = {dict(entry.label_pairs)['route'] for entry in exported}
            self.assertEqual(routes, set(_NAMES))
