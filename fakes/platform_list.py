"""The users' platform as far as the system meets it beside the replicas.

`PlatformList` serves the list of replicas, with entries of other writers
among them; `render` fills in the settings templates as the platform does.
"""

import json
import re
from collections.abc import Iterable, Mapping
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from fakes.platform_replica import PlatformReplica

PAGE_SIZE = 3


class PlatformList:
    """Pages of the list, as of now or of a moment that a test froze."""

    def __init__(self, replicas: Iterable[PlatformReplica]) -> None:
        """Serve these replicas; a test may change the list."""
        self.replicas = list(replicas)
        self.foreign: list[Any] = []
        self.is_down = False
        # Answered in place of each page, also if it is no JSON.
        self.raw_page: str | None = None
        self.calls = 0
        self.port = 0
        self._server: HTTPServer | None = None

    def start(self, host: str = '127.0.0.1') -> None:
        """Listen."""
        application = Application(
            [('/instances', _ListHandler, {'platform': self})],
            log_function=lambda handler: None,
        )
        self._server = HTTPServer(application)
        sockets = bind_sockets(0, host)
        self._server.add_sockets(sockets)
        self.port = sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop()

    def page(self, start: int) -> dict:
        """Return one page."""
        entries = [*self.foreign, *(one.entry() for one in self.replicas)]
        end = start + PAGE_SIZE
        following = str(end) if end < len(entries) else None
        return {'replicas': entries[start:end], 'next': following}


class _ListHandler(RequestHandler):
    def initialize(self, platform: PlatformList) -> None:
        self._platform = platform

    def get(self) -> None:
        platform = self._platform
        platform.calls += 1
        if platform.is_down:
            self.set_status(429)
            return
        start = int(self.get_query_argument('page_token', '0'))
        if platform.raw_page is not None:
            self.finish(platform.raw_page)
            return
        self.finish(json.dumps(platform.page(start)))


_PLACE = re.compile(r'\{\{([\w.]+)(\|json)?\}\}')
_SECTION = re.compile(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)


def render(template: str, fields: Mapping[str, Any]) -> str:
    """Fill the fields of a process into a template, as the platform does.

    A section is kept where its field has a value, and repeated for each entry of
    a table.

    >>> render('a = {{x.y|json}}{{#z}}, b = {{z|json}}{{/z}}', {'x': {'y': 'n'}})
    'a = "n"'
    """

    def find(path: str) -> Any:
        place: Any = fields
        for name in path.split('.'):
            if name.isdigit():
                place = place[int(name)]
            elif name not in place:
                return None
            else:
                place = place[name]
        return place

    def keep(found: re.Match) -> str:
        place, body = find(found.group(1)), found.group(2)
        if isinstance(place, dict):
            return ''.join(
                body.replace('{{@}}', key).replace(
                    '{{.|json}}', json.dumps(entry)
                )
                for key, entry in place.items()
            )
        return body if place is not None else ''

    def fill(found: re.Match) -> str:
        place = find(found.group(1))
        return json.dumps(place) if found.group(2) else str(place)

    return _PLACE.sub(fill, _SECTION.sub(keep, template))
