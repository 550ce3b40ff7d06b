"""The answer of the fake engine as a function of the request.

A checker recomputes it, and so tells a whole answer of one's own from a cut,
crossed or foreign one.

>>> answer_text('r-1', 2, 'good').split()[1]
'good'
>>> is_whole_answer('r-1', 2, answer_text('r-1', 2, 'bad'))
True
>>> is_whole_answer('r-2', 2, answer_text('r-1', 2, 'bad'))
False
"""

from collections.abc import Mapping
from typing import Any

from xxhash import xxh3_64_hexdigest, xxh3_64_intdigest

GOOD = 'good'
BAD = 'bad'

_TOKEN_DIGITS = 8
_CHARACTERS_PER_TOKEN = 4
_SHORTEST_PREFIX_CHARACTERS = 256
_SHORT_LIMIT_TOKENS = 512
_MEDIUM_LIMIT_TOKENS = 4096
_HASH_RANGE = 1 << 64
_ANY = '*'


def token_text(request_id: str, position: int) -> str:
    """Return one token that is not the last."""
    digest = xxh3_64_hexdigest(f'{request_id}:{position}'.encode())
    return f'w{digest[:_TOKEN_DIGITS]} '


def tokens_between(
    request_id: str, begin: int, end: int, total_tokens: int, verdict: str
) -> str:
    """Return the text of the tokens from begin up to end, end excluded."""
    pieces = [
        token_text(request_id, position)
        for position in range(begin, min(end, total_tokens - 1))
    ]
    if end == total_tokens and begin < end:
        pieces.append(verdict)
    return ''.join(pieces)


def answer_text(request_id: str, total_tokens: int, verdict: str) -> str:
    """Return the whole answer."""
    return tokens_between(request_id, 0, total_tokens, total_tokens, verdict)


def is_whole_answer(request_id: str, total_tokens: int, text: str) -> bool:
    """Tell whether the text is the whole answer to this request."""
    return text in {
        answer_text(request_id, total_tokens, verdict)
        for verdict in (GOOD, BAD)
    }


def prompt_text(messages: Any) -> str:
    """Return the concatenated contents of the messages."""
    return ''.join(str(one.get('content', '')) for one in messages)


def count_prompt_tokens(prompt: str) -> int:
    """Return the length of a prompt in tokens."""
    return max(1, len(prompt) // _CHARACTERS_PER_TOKEN)


def length_class(prompt_tokens: int) -> str:
    """Return short, medium or long."""
    if prompt_tokens < _SHORT_LIMIT_TOKENS:
        return 'short'
    if prompt_tokens < _MEDIUM_LIMIT_TOKENS:
        return 'medium'
    return 'long'


def prefix_digests(prompt: str) -> list[tuple[int, str]]:
    """Return length and digest of each cacheable prefix, shortest first."""
    digests = []
    length = _SHORTEST_PREFIX_CHARACTERS
    while length <= len(prompt):
        digest = xxh3_64_hexdigest(prompt[:length].encode())
        digests.append((length, digest))
        length *= 2
    return digests


def good_share(
    quality: Mapping[str, Any], version: str, task: str, length: str
) -> float:
    """Return the share of good answers; the most exact key goes first.

    >>> quality = {'small@1': {'memo:long': 0.5, 'memo': 0.7, '*': 0.9}}
    >>> good_share(quality, 'small@1', 'memo', 'long')
    0.5
    >>> good_share(quality, 'small@1', 'caption', 'short')
    0.9
    """
    shares = quality.get(version, 1.0)
    if not isinstance(shares, dict):
        return float(shares)
    for key in (f'{task}:{length}', task, _ANY):
        if key in shares:
            return float(shares[key])
    return 1.0


def unit_hash(text: str) -> float:
    """Return a number from 0 up to 1 that depends on the text alone."""
    return xxh3_64_intdigest(text.encode()) / _HASH_RANGE


def verdict_for(
    prompt: str, version: str, share_good: float, share_bad: float
) -> str:
    """Return good or bad.

    The difficulty of a prompt is the same for all versions, so a version of
    higher quality answers well what a lower one does, and a run with the
    same seed meets the same difficulties.
    """
    if unit_hash(f'{version}:bad:{prompt}') < share_bad:
        return BAD
    if unit_hash(f'difficulty:{prompt}') < share_good:
        return GOOD
    return BAD
