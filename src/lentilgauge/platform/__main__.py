"""Start a gateway on the users' platform.

Until its own handler is set, a SIGHUP would end the process; reading the
program in takes long enough for one to come.
"""

import importlib
import signal


def main() -> None:
    """Ignore SIGHUP, and only then read the program in and run it."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    importlib.import_module('lentilgauge.platform.program').main()


if __name__ == '__main__':
    main()
