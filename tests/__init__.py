"""Test the router, its library and its processes."""

import logging

# The test library runs loops in debug mode, which reports every slow step.
logging.getLogger('asyncio').setLevel(logging.ERROR)
