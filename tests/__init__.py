"""Tests of the router, its library and its processes."""

import logging

import loguru

# unittest runs event loops in debug mode, where asyncio warns about each
# slow callback.
logging.getLogger('asyncio').setLevel(logging.ERROR)
loguru.logger.disable('lentilgauge')
