"""Names of the platform's HTTP headers."""

REQUEST_ID = 'X-Lentilgauge-Request-Id'
#: Milliseconds that the caller, or this system, waits for the reply.
DEADLINE_MS = 'X-Lentilgauge-Deadline-Ms'
#: Set by the upstream itself on each reply to a request that it executed.
SEAL = 'X-Lentilgauge-Server-Seal'
#: Id of the only upstream that may execute the request.
EXPECTED_INSTANCE = 'X-Lentilgauge-Expect-Instance'
#: Running requests, waiting requests, how many can run at once, and the current
#: execution time in percent of the usual one, separated by commas.
LOAD = 'X-Lentilgauge-Server-Load'
#: Set by an upstream that did not execute the request.
NOT_EXECUTED = 'X-Lentilgauge-Not-Executed'
#: `1` in all replies of an upstream that will end soon.
LEAVING = 'Server-Leaving'
#: Seconds for which an upstream that replied 503 wants no more requests from
#: this VM.
RETRY_AFTER = 'Retry-After'
#: Number of the store's returns to an older copy of itself, in its answers.
STORE_ERA = 'Store-Era'
#: Key of a request, from 0 to 65535.
SHARD_KEY = 'X-Lentilgauge-Shard-Key'
#: Name of the workspace that the request's API key belongs to.
WORKSPACE = 'X-Lentilgauge-Tenant'
#: Data returned by the previous holder of keys, with which the next one starts
#: warm.
HANDOVER = 'X-Lentilgauge-Handover'
