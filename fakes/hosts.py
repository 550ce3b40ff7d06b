"""Stand-in for the platform's list of live and leaving hosts, which lags.

The hosts are set by the flag or by the fault ``hosts`` of ``POST /control``;
readers see a change after the lag.

    python -m fakes.hosts --port=0 --name=hosts --list_lag_s=5
"""

import collections
import json
import time
from typing import Any

from absl import flags

from fakes.serving import Routes, Stand, StandHandler, start_stand_in

_HOSTS = flags.DEFINE_string('hosts', '[]', 'JSON: name, url, state of each.')
_LIST_LAG_S = flags.DEFINE_float('list_lag_s', 1.0, 'Age of the list.')

_KEPT_LISTS = 1000


class HostList:
    """Each list that was set, with its time and sequence."""

    def __init__(self, stand: Stand) -> None:
        """Start with the list of the flag, seen at once."""
        self.stand = stand
        stand.counters = self
        stand.faults.hosts = json.loads(_HOSTS.value)
        self.reads = 0
        self._lists: collections.deque[tuple[float, int, Any]] = (
            collections.deque(maxlen=_KEPT_LISTS)
        )
        self._lists.append((0.0, 1, stand.faults.hosts))

    def current(self, now_s: float) -> dict[str, Any]:
        """Return the newest list that is older than the lag."""
        self.reads += 1
        lag_s = self.stand.faults.lag_s
        if lag_s is None:
            lag_s = _LIST_LAG_S.value
        ripe = [one for one in self._lists if one[0] <= now_s - lag_s]
        _, sequence, hosts = ripe[-1] if ripe else self._lists[0]
        return {'sequence': sequence, 'hosts': hosts}

    def counts(self) -> dict[str, Any]:
        """Return the totals for ``GET /control``."""
        return {'started': self.reads, 'sequence': self._lists[-1][1]}

    def records(self) -> list[dict[str, Any]]:
        """Return each list that was set."""
        return [
            {'sequence': sequence, 'hosts': hosts}
            for _, sequence, hosts in self._lists
        ]

    def faults_changed(self) -> None:
        """Append the list when it is a new one."""
        _, sequence, hosts = self._lists[-1]
        if self.stand.faults.hosts != hosts:
            self._lists.append(
                (time.monotonic(), sequence + 1, self.stand.faults.hosts)
            )


class HostsHandler(StandHandler):
    """``GET /hosts``."""

    host_list: HostList

    def get(self) -> None:
        """Return the list as it was a lag ago."""
        self.answer(self.host_list.current(time.monotonic()))


def make_routes(stand: Stand) -> Routes:
    """Return the route of a host list with its own state."""
    owners = {'stand': stand, 'host_list': HostList(stand)}
    return [('/hosts', HostsHandler, owners)]


if __name__ == '__main__':
    start_stand_in('hosts', make_routes)
