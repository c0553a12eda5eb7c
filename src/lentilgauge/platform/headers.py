"""Name the platform's headers."""

REQUEST_ID = 'X-Lentilgauge-Request-Id'
#: How many milliseconds the caller, or this system, will wait.
DEADLINE_MS = 'X-Lentilgauge-Deadline-Ms'
#: Set on every answer that an upstream itself gave to a request it ran.
SEAL = 'X-Lentilgauge-Server-Seal'
#: The id of the upstream that alone may run the request.
EXPECTED_INSTANCE = 'X-Lentilgauge-Expect-Instance'
#: Running, waiting, slots, and how long work takes now in percent.
LOAD = 'X-Lentilgauge-Server-Load'
#: The upstream did not run the request.
NOT_EXECUTED = 'X-Lentilgauge-Not-Executed'
#: The key of a request, from 0 to 65535.
SHARD_KEY = 'X-Lentilgauge-Shard-Key'
#: What the next holder needs so that its keys are warm.
HANDOVER = 'X-Lentilgauge-Handover'
