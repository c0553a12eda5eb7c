"""Entry point of a gateway on the users' platform.

By default a SIGHUP ends the process. It is therefore ignored until the program
installs its own handler: the imports take long enough for one to arrive.
"""

import importlib
import signal


def main() -> None:
    """Ignore SIGHUP before importing and running the program."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    importlib.import_module('lentilgauge.platform.program').main()


if __name__ == '__main__':
    main()
