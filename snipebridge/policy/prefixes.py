"""Which prompt prefixes an engine likely holds in its cache.

Two sources feed the estimate: the entry's own dispatches, which leave their
prefix in the cache, and the engine's cache events, which come late and with
gaps. A gap lowers the trust in all that was known before it, and an event is
evidence, never truth. Memory is bounded by replica.

>>> book = make_prefix_cache_index()
>>> prefixes = make_prefixes('x' * 1024, prompt_tokens=256)
>>> book.record_dispatch('engine-1', prefixes, now_s=0.0)
>>> book.cached_tokens('engine-1', prefixes, now_s=0.0) > 200
True
"""

import enum
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import xxhash

FIRST_PREFIX_CHARACTERS = 256
DISPATCH_TRUST = 0.9
STORED_TRUST = 0.95
DOUBTED_EVICTION_TRUST = 0.4
GAP_TRUST_FACTOR = 0.8
TRUST_HALF_LIFE_S = 300.0
EVENT_LAG_S = 5.0
# The shorter prefixes are not looked up once a longer one is this certain.
ENOUGH_TRUST = 0.75
MAX_PREFIXES = 2048


@dataclass(slots=True, frozen=True)
class Prefix:
    """A prefix of a prompt and the prompt tokens that it covers."""

    digest: str
    tokens: int


@enum.unique
class CacheEventKind(enum.StrEnum):
    """What an engine did with a prefix."""

    STORED = 'stored'
    EVICTED = 'evicted'


@dataclass(slots=True, frozen=True)
class CacheEvent:
    """One event of an engine's cache."""

    sequence: int
    kind: CacheEventKind
    digest: str


@dataclass(slots=True)
class _Holding:
    """A prefix that a replica may hold."""

    trust: float
    noted_s: float
    gaps: int
    dispatched_s: float = float('-inf')


@dataclass(slots=True)
class _ReplicaCache:
    """What is known of one replica's cache, oldest first."""

    holdings: OrderedDict[str, _Holding] = field(default_factory=OrderedDict)
    last_sequence: int = -1
    gaps: int = 0


class PrefixCacheIndex:
    """Likely contents of the replicas' caches as one entry sees them."""

    __slots__ = ('_caches', '_holders', '_max_prefixes')

    def __init__(self, max_prefixes: int) -> None:
        """Start without knowledge."""
        self._max_prefixes = max_prefixes
        self._caches: dict[str, _ReplicaCache] = {}
        # Replica that last stored each prefix, oldest first.
        self._holders: OrderedDict[str, str] = OrderedDict()

    def record_dispatch(
        self,
        replica: str,
        prefixes: Iterable[Prefix],
        now_s: float,
    ) -> None:
        """Expect the prefixes of an own request in the replica's cache."""
        cache = self._cache(replica)
        for prefix in prefixes:
            holding = _Holding(DISPATCH_TRUST, now_s, cache.gaps, now_s)
            self._keep(cache, prefix.digest, holding)
            self._hold(prefix.digest, replica)

    def record_events(
        self,
        replica: str,
        events: Sequence[CacheEvent],
        last_sequence: int,
        now_s: float,
    ) -> None:
        """Take in cache events; what is missing between them is a gap.

        A last sequence below the one known means that the engine started
        anew, with an empty cache.
        """
        cache = self._cache(replica)
        if last_sequence < cache.last_sequence:
            self._caches[replica] = _ReplicaCache(last_sequence=last_sequence)
            return
        expected = cache.last_sequence + 1
        for event in sorted(events, key=_sequence_of):
            if event.sequence < expected:
                continue
            if event.sequence > expected and cache.last_sequence >= 0:
                cache.gaps += 1
            expected = event.sequence + 1
            self._apply(replica, event, now_s)
        if expected <= last_sequence and cache.last_sequence >= 0:
            cache.gaps += 1
        cache.last_sequence = last_sequence

    def cached_tokens(
        self,
        replica: str,
        prefixes: Sequence[Prefix],
        now_s: float,
    ) -> float:
        """Return the expected number of prompt tokens already cached.

        Prefixes come shortest first; a cached one implies the shorter ones.
        """
        cache = self._caches.get(replica)
        if cache is None or not prefixes:
            return 0.0
        expected_tokens = 0.0
        trust = 0.0
        for index in range(len(prefixes) - 1, -1, -1):
            trust = max(trust, _trust(cache, prefixes[index].digest, now_s))
            if trust >= ENOUGH_TRUST:
                return expected_tokens + trust * prefixes[index].tokens
            shorter = prefixes[index - 1].tokens if index else 0
            expected_tokens += trust * (prefixes[index].tokens - shorter)
        return expected_tokens

    def likely_holder(self, prefixes: Sequence[Prefix]) -> str:
        """Return the replica that last stored the longest known prefix.

        Returns an empty name where none is known.
        """
        for prefix in reversed(prefixes):
            holder = self._holders.get(prefix.digest)
            if holder is not None:
                return holder
        return ''

    def forget(self, replica: str) -> None:
        """Drop all knowledge of a replica that restarted or left."""
        self._caches.pop(replica, None)

    def size(self, replica: str) -> int:
        """Return the number of prefixes remembered for a replica."""
        cache = self._caches.get(replica)
        return len(cache.holdings) if cache else 0

    def _cache(self, replica: str) -> _ReplicaCache:
        return self._caches.setdefault(replica, _ReplicaCache())

    def _apply(
        self,
        replica: str,
        event: CacheEvent,
        now_s: float,
    ) -> None:
        cache = self._caches[replica]
        known = cache.holdings.get(event.digest)
        if event.kind is CacheEventKind.STORED:
            dispatched_s = known.dispatched_s if known else float('-inf')
            holding = _Holding(STORED_TRUST, now_s, cache.gaps, dispatched_s)
            self._keep(cache, event.digest, holding)
            self._hold(event.digest, replica)
        elif known and now_s - known.dispatched_s < EVENT_LAG_S:
            # The eviction may be older than the own dispatch that stored it.
            known.trust = min(known.trust, DOUBTED_EVICTION_TRUST)
        else:
            cache.holdings.pop(event.digest, None)

    def _hold(self, digest: str, replica: str) -> None:
        self._holders[digest] = replica
        self._holders.move_to_end(digest)
        if len(self._holders) > self._max_prefixes:
            self._holders.popitem(last=False)

    def _keep(
        self,
        cache: _ReplicaCache,
        digest: str,
        holding: _Holding,
    ) -> None:
        cache.holdings[digest] = holding
        cache.holdings.move_to_end(digest)
        if len(cache.holdings) > self._max_prefixes:
            cache.holdings.popitem(last=False)


def _sequence_of(event: CacheEvent) -> int:
    return event.sequence


def _trust(cache: _ReplicaCache, digest: str, now_s: float) -> float:
    """Return the trust in one prefix, lowered by age and gaps since."""
    holding = cache.holdings.get(digest)
    if holding is None:
        return 0.0
    gap_factor = GAP_TRUST_FACTOR ** (cache.gaps - holding.gaps)
    age_s = now_s - holding.noted_s
    return holding.trust * gap_factor * 0.5 ** (age_s / TRUST_HALF_LIFE_S)


def make_prefixes(text: str, prompt_tokens: int) -> tuple[Prefix, ...]:
    """Return the prefixes of a prompt, shortest first.

    Lengths double from 256 characters, as the engines publish them.
    """
    prefixes = []
    length = FIRST_PREFIX_CHARACTERS
    while length <= len(text):
        digest = xxhash.xxh3_64_hexdigest(text[:length].encode())
        tokens = prompt_tokens * length // len(text)
        prefixes.append(Prefix(digest, tokens))
        length *= 2
    return tuple(prefixes)


def make_prefix_cache_index(
    max_prefixes: int = MAX_PREFIXES,
) -> PrefixCacheIndex:
    """Return an empty book that remembers so many prefixes by replica."""
    return PrefixCacheIndex(max_prefixes)
