"""A caller of the users' platform, and a small configuration of routes."""

import asyncio
from dataclasses import dataclass, field

DOCUMENT = {
    'version': 1,
    'routes': [
        {
            'name': 'look',
            'host': 'a.example',
            'path_prefix': '/look/',
            'kind': 'idempotent',
            'timeout_ms': 2000,
            'objective_ms': 500,
            'service': 'desk',
            'attempts_limit': 2,
        },
        {
            'name': 'book',
            'host': 'a.example',
            'path_prefix': '/book/',
            'kind': 'non_idempotent',
            'timeout_ms': 1000,
            'service': 'desk',
            'attempts_limit': 1,
        },
        {
            'name': 'chat',
            'host': 'a.example',
            'path_prefix': '/chat/',
            'kind': 'streaming',
            'timeout_ms': 4000,
            'objective_ms': 2000,
            'pause_objective_ms': 700,
            'service': 'models',
            'attempts_limit': 3,
            'resumable': True,
            'tiers': ['small', 'large'],
        },
        {
            'name': 'open',
            'host': 'a.example',
            'path_prefix': '/open/',
            'kind': 'idempotent',
            'timeout_ms': 1000,
            'service': 'desk',
            'keyless': True,
        },
    ],
    'services': [{'name': 'desk'}, {'name': 'models'}],
    'accounts': [{'name': 'studio', 'keys': ['k1']}],
}

CHAT_HEADERS = {
    'X-Model-Id': '*',
    'X-Token-Usage': '900,30',
    'X-Prefix-Hash': '5c:800,91:100',
}


@dataclass(slots=True)
class Answer:
    """What a caller got."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    # The framing says that the body is whole.
    is_whole: bool = False


def request_bytes(path, method='GET', body=b'', headers=None) -> bytes:
    """Return a request of a caller of the account."""
    named = {
        'Host': 'a.example',
        'X-Attempt-Id': 'a1',
        'X-Deadline-Ms': '3000',
        'X-Key': 'k1',
        **(headers or {}),
    }
    lines = [f'{method} {path} HTTP/1.1']
    lines.extend(f'{name}: {text}' for name, text in named.items() if text)
    if body:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode() + body


async def read_answer(reader) -> Answer:
    """Read one answer, whole or not."""
    answer = Answer()
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin1').split('\r\n')
    answer.status = int(lines[0].split()[1])
    for line in lines[1:]:
        name, _, text = line.partition(': ')
        answer.headers[name.lower()] = text
    try:
        await _read_body(reader, answer)
    except (asyncio.IncompleteReadError, ConnectionError):
        return answer
    answer.is_whole = True
    return answer


async def _read_body(reader, answer: Answer) -> None:
    if answer.headers.get('transfer-encoding') == 'chunked':
        while True:
            size = int((await reader.readuntil(b'\r\n')).strip(), 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return
            answer.body += chunk[:-2]
    if 'content-length' not in answer.headers:
        # Delimited by the end of the connection, which a reset is not.
        while piece := await reader.read(65_536):
            answer.body += piece
        return
    length = int(answer.headers['content-length'])
    answer.body = await reader.readexactly(length)
