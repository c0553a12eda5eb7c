"""Test the router, its library and its processes."""

import logging

import loguru

# The test library runs loops in debug mode, which reports every slow step.
logging.getLogger('asyncio').setLevel(logging.ERROR)
loguru.logger.disable('lentilgauge')
