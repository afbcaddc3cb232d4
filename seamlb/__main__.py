"""python -m seamlb"""

import signal
import sys

SERVES = ((), ("serve",))  # the first argument where the daemon is started


def run() -> None:
    """Start the command line.

    A SIGHUP that comes before the daemon has its handler would end the process: it waits until the daemon lets it in.
    """
    if tuple(sys.argv[1:2]) in SERVES:
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    from seamlb.cli import main

    main(prog_name="seamlb")


run()
