"""python -m seamlb"""

import signal
import sys

SERVE_ARGUMENTS = ((), ("serve",))  # the first argument, if the daemon is to start


def run() -> None:
    """Start the command line.

    A SIGHUP before the daemon installs its handler would end the process: it is blocked until then.
    """
    if tuple(sys.argv[1:2]) in SERVE_ARGUMENTS:
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    from seamlb.cli import main

    main(prog_name="seamlb")


run()
