"""Entry point of the ``snipebridge`` command."""

import signal
import sys

# Processes that take a hang-up as word of new settings.
_PROCESSES = frozenset(('entry', 'control'))


def main() -> None:
    """Run the program and leave with its exit code."""
    if _PROCESSES.intersection(sys.argv[1:2]):
        # Until the process listens for it, a hang-up would end it: loading
        # the program takes a quarter of a second. Settings are read later.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from snipebridge.core import run

    sys.exit(run(sys.argv))


if __name__ == '__main__':
    main()
