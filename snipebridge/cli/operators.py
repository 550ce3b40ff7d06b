"""HTTP client of the operators' commands."""

import json
import uuid
from urllib.parse import quote

from tornado.httpclient import HTTPClient, HTTPError, HTTPRequest, HTTPResponse

from snipebridge.cli.errors import CommandError
from snipebridge.exits import ExitStatus

_REQUEST_TIMEOUT_S = 15.0
_CONFLICT_STATUSES = frozenset((409, 412, 428))


class OperatorClient:
    """Talks to one control process; it forwards what only a leader can do."""

    __slots__ = ('_admin_key', '_ca_file', '_url')

    def __init__(self, url: str, admin_key: str, ca_file: str) -> None:
        """Keep where to call and with which key."""
        self._url = url.rstrip('/')
        self._admin_key = admin_key
        self._ca_file = ca_file

    def read(self, path: str) -> str:
        """Return the body of a page."""
        return self._send(path, 'GET').body.decode()

    def configuration_number(self) -> int:
        """Return the number of the accepted configuration."""
        return int(json.loads(self.read('/admin/v1/config'))['number'])

    def patch(self, text: str, number: str, key: str) -> str:
        """Submit a merge patch against a number; return the answer."""
        headers = {
            'If-Match': f'"{number}"',
            'Idempotency-Key': key or uuid.uuid4().hex,
            'Content-Type': 'application/merge-patch+json',
        }
        path = '/admin/v1/config'
        return self._send(path, 'PATCH', text, headers).body.decode()

    def put_routing(self, document: str) -> str:
        """Put a whole configuration of routes; return the answer."""
        path = '/admin/v1/routing'
        return self._send(path, 'PUT', document).body.decode()

    def order_software(self, service: str, target: str, within_s: str) -> str:
        """Order the roll-out of a service's software; return the answer."""
        body = json.dumps(
            {
                'service': service,
                'target': target,
                'deadline_s': float(within_s),
            }
        )
        path = '/admin/v1/software-rollouts'
        return self._send(path, 'POST', body).body.decode()

    def evacuate(self, data_centre: str, *, is_withdrawn: bool) -> str:
        """Order or withdraw an evacuation; return the answer."""
        path = f'/admin/v1/evacuations/{quote(data_centre, safe="")}'
        if is_withdrawn:
            return self._send(path, 'DELETE').body.decode()
        return self._send(path, 'POST', '').body.decode()

    def replace_member(self, change: dict[str, str]) -> str:
        """Replace a control host; return the answer."""
        body = json.dumps({'action': 'replace', **change})
        return self._send('/admin/v1/members', 'POST', body).body.decode()

    def _send(
        self, path: str, method: str, body: str | None = None, headers=None
    ) -> HTTPResponse:
        request = HTTPRequest(
            self._url + path,
            method=method,
            body=body,
            headers={
                'Authorization': f'Bearer {self._admin_key}',
                **(headers or {}),
            },
            request_timeout=_REQUEST_TIMEOUT_S,
            ca_certs=self._ca_file or None,
        )
        client = HTTPClient()
        try:
            return client.fetch(request)
        except HTTPError as error:
            raise _refused(error) from error
        except OSError as error:
            raise CommandError(
                f'{self._url}: {error}', ExitStatus.UNREACHABLE
            ) from error
        finally:
            client.close()


def make_operator_client(
    url: str, admin_key: str, ca_file: str
) -> OperatorClient:
    """Return a client; the key must be given."""
    if not admin_key:
        raise CommandError('SNIPEBRIDGE_ADMIN_KEY is not set', ExitStatus.USAGE)
    return OperatorClient(url, admin_key, ca_file)


def _refused(error: HTTPError) -> CommandError:
    if error.response is None:
        return CommandError(error.message, ExitStatus.UNREACHABLE)
    body = error.response.body.decode(errors='replace')
    if error.code in _CONFLICT_STATUSES:
        return CommandError(body, ExitStatus.CONFLICT)
    return CommandError(f'{error.code}: {body}', ExitStatus.REFUSED)
