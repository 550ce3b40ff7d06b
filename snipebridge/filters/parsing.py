"""Parses and validates chat completion requests in the OpenAI format.

>>> chat = parse_chat(b'{"model": "auto", "messages": []}')
Traceback (most recent call last):
...
snipebridge.filters.errors.BadRequestError: messages: found [], allowed is a list of messages
"""

from collections.abc import Mapping, Sequence
from typing import Any

import orjson

from snipebridge.controllers.view import DEFAULT_TASK
from snipebridge.filters.errors import BadRequestError
from snipebridge.filters.exchange import ChatRequest
from snipebridge.policy.prefixes import make_prefixes
from snipebridge.policy.quality import classify_length

_CHARACTERS_PER_TOKEN = 4
_DEFAULT_COMPLETION_TOKENS = 128
_COMPLETION_LIMIT_TOKENS = 131_072


def parse_chat(body: bytes) -> ChatRequest:
    """Return the validated request; raises `BadRequestError`."""
    document = _parse_object(body)
    model = document.get('model')
    if not isinstance(model, str) or not model:
        raise BadRequestError(f'model: found {model!r}, allowed is a name')
    stream = document.get('stream', False)
    if not isinstance(stream, bool):
        raise BadRequestError(
            f'stream: found {stream!r}, allowed are true and false'
        )
    prompt = _read_prompt(document.get('messages'))
    prompt_tokens = max(1, len(prompt) // _CHARACTERS_PER_TOKEN)
    return ChatRequest(
        body=document,
        model=model,
        stream=stream,
        task=_read_task(document.get('metadata')),
        prompt=prompt,
        prompt_tokens=prompt_tokens,
        expected_tokens=_read_completion_tokens(document),
        length_class=classify_length(prompt_tokens),
        prefixes=make_prefixes(prompt, prompt_tokens),
    )


def _parse_object(body: bytes) -> Mapping[str, Any]:
    try:
        document = orjson.loads(body)
    except ValueError as error:
        raise BadRequestError(f'the body is not JSON: {error}') from error
    if not isinstance(document, dict):
        raise BadRequestError('the body is not a JSON object')
    return document


def _read_prompt(messages: Any) -> str:
    if not isinstance(messages, list) or not messages:
        raise BadRequestError(
            f'messages: found {messages!r}, allowed is a list of messages'
        )
    return ''.join(_read_message(message) for message in messages)


def _read_message(message: Any) -> str:
    if not isinstance(message, dict) or 'role' not in message:
        raise BadRequestError('messages: a message needs role and content')
    content = message.get('content')
    if content is None:
        return ''
    if isinstance(content, str):
        return content
    if isinstance(content, list):
        return _read_parts(content)
    raise BadRequestError('messages: content must be text or a list of parts')


def _read_parts(parts: Sequence[Any]) -> str:
    texts = []
    for part in parts:
        text = part.get('text', '') if isinstance(part, dict) else None
        if not isinstance(text, str):
            raise BadRequestError(
                'messages: a content part is not an object with a text'
            )
        texts.append(text)
    return ''.join(texts)


def _read_task(metadata: Any) -> str:
    if metadata is None:
        return DEFAULT_TASK
    task = (
        metadata.get('task', DEFAULT_TASK)
        if isinstance(metadata, dict)
        else None
    )
    if not isinstance(task, str):
        raise BadRequestError('metadata: allowed is an object; task is a name')
    return task


def _read_completion_tokens(document: Mapping[str, Any]) -> int:
    tokens = document.get('max_completion_tokens', document.get('max_tokens'))
    if tokens is None:
        return _DEFAULT_COMPLETION_TOKENS
    is_allowed = (
        isinstance(tokens, int)
        and not isinstance(tokens, bool)
        and 0 < tokens <= _COMPLETION_LIMIT_TOKENS
    )
    if not is_allowed:
        raise BadRequestError(
            f'max_tokens: found {tokens!r}, '
            f'allowed is 1 to {_COMPLETION_LIMIT_TOKENS}'
        )
    return tokens
