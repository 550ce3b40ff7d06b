"""Estimates which prompt prefixes a replica has in its prefix cache.

The estimate has two sources: the entry's own dispatches, which leave their
prefixes in the cache, and the engine's cache events, which are delayed and
incomplete. A gap in the events lowers the probability of everything recorded
before it, and no event is taken as certain. Memory is bounded by replica.

>>> index = make_prefix_cache_index()
>>> prefixes = make_prefixes('x' * 1024, prompt_tokens=256)
>>> index.record_dispatch('engine-1', prefixes, now_s=0.0)
>>> index.cached_tokens('engine-1', prefixes, now_s=0.0) > 200
True
"""

import enum
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import xxhash

MIN_PREFIX_CHARACTERS = 256
DISPATCH_PROBABILITY = 0.9
STORED_PROBABILITY = 0.95
DOUBTFUL_EVICTION_PROBABILITY = 0.4
GAP_PROBABILITY_FACTOR = 0.8
PROBABILITY_HALF_LIFE_S = 300.0
EVENT_LAG_S = 5.0
# Shorter prefixes are not looked up once a longer one is this likely.
SUFFICIENT_PROBABILITY = 0.75
MAX_PREFIXES = 2048


@dataclass(slots=True, frozen=True)
class Prefix:
    """A prompt prefix and the number of prompt tokens it covers."""

    digest: str
    tokens: int


@enum.unique
class CacheEventKind(enum.StrEnum):
    """Kind of change to a cached prefix."""

    STORED = 'stored'
    EVICTED = 'evicted'


@dataclass(slots=True, frozen=True)
class CacheEvent:
    """A change in the prefix cache of an engine."""

    sequence: int
    kind: CacheEventKind
    digest: str


@dataclass(slots=True)
class _CachedPrefix:
    """A prefix that a replica may have cached."""

    probability: float
    recorded_s: float
    gaps: int
    dispatched_s: float = float('-inf')


@dataclass(slots=True)
class _ReplicaCache:
    """Likely cache contents of one replica, oldest first."""

    prefixes: OrderedDict[str, _CachedPrefix] = field(
        default_factory=OrderedDict
    )
    last_sequence: int = -1
    gaps: int = 0


class PrefixCacheIndex:
    """Likely cache contents of the replicas as seen by one entry."""

    __slots__ = ('_caches', '_holders', '_max_prefixes')

    def __init__(self, max_prefixes: int) -> None:
        """Start without cached prefixes."""
        self._max_prefixes = max_prefixes
        self._caches: dict[str, _ReplicaCache] = {}
        # The replica that last stored each prefix, oldest first.
        self._holders: OrderedDict[str, str] = OrderedDict()

    def record_dispatch(
        self,
        replica: str,
        prefixes: Iterable[Prefix],
        now_s: float,
    ) -> None:
        """Record the prefixes of a dispatched request as likely cached."""
        cache = self._cache(replica)
        for prefix in prefixes:
            cached_prefix = _CachedPrefix(
                DISPATCH_PROBABILITY, now_s, cache.gaps, now_s
            )
            self._store(cache, prefix.digest, cached_prefix)
            self._set_holder(prefix.digest, replica)

    def record_events(
        self,
        replica: str,
        events: Sequence[CacheEvent],
        last_sequence: int,
        now_s: float,
    ) -> None:
        """Apply cache events; a missing sequence number counts as a gap.

        A last sequence below the known one means that the engine has
        restarted with an empty cache.
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

        Prefixes are ordered shortest first; a cached prefix implies that
        the shorter ones are cached.
        """
        cache = self._caches.get(replica)
        if cache is None or not prefixes:
            return 0.0
        expected_tokens = 0.0
        probability = 0.0
        for index in range(len(prefixes) - 1, -1, -1):
            probability = max(
                probability,
                _cached_probability(cache, prefixes[index].digest, now_s),
            )
            if probability >= SUFFICIENT_PROBABILITY:
                return expected_tokens + probability * prefixes[index].tokens
            shorter = prefixes[index - 1].tokens if index else 0
            expected_tokens += probability * (prefixes[index].tokens - shorter)
        return expected_tokens

    def likely_holder(self, prefixes: Sequence[Prefix]) -> str:
        """Return the replica that last stored the longest known prefix.

        Returns an empty name if none is known.
        """
        for prefix in reversed(prefixes):
            holder = self._holders.get(prefix.digest)
            if holder is not None:
                return holder
        return ''

    def remove_replica(self, replica: str) -> None:
        """Discard the cached prefixes of a replica that restarted or left."""
        self._caches.pop(replica, None)

    def size(self, replica: str) -> int:
        """Return the number of prefixes remembered for a replica."""
        cache = self._caches.get(replica)
        return len(cache.prefixes) if cache else 0

    def _cache(self, replica: str) -> _ReplicaCache:
        return self._caches.setdefault(replica, _ReplicaCache())

    def _apply(
        self,
        replica: str,
        event: CacheEvent,
        now_s: float,
    ) -> None:
        cache = self._caches[replica]
        known = cache.prefixes.get(event.digest)
        if event.kind is CacheEventKind.STORED:
            dispatched_s = known.dispatched_s if known else float('-inf')
            cached_prefix = _CachedPrefix(
                STORED_PROBABILITY, now_s, cache.gaps, dispatched_s
            )
            self._store(cache, event.digest, cached_prefix)
            self._set_holder(event.digest, replica)
        elif known and now_s - known.dispatched_s < EVENT_LAG_S:
            # The eviction may predate the dispatch that stored the prefix.
            known.probability = min(
                known.probability, DOUBTFUL_EVICTION_PROBABILITY
            )
        else:
            cache.prefixes.pop(event.digest, None)

    def _set_holder(self, digest: str, replica: str) -> None:
        self._holders[digest] = replica
        self._holders.move_to_end(digest)
        if len(self._holders) > self._max_prefixes:
            self._holders.popitem(last=False)

    def _store(
        self,
        cache: _ReplicaCache,
        digest: str,
        cached_prefix: _CachedPrefix,
    ) -> None:
        cache.prefixes[digest] = cached_prefix
        cache.prefixes.move_to_end(digest)
        if len(cache.prefixes) > self._max_prefixes:
            cache.prefixes.popitem(last=False)


def _sequence_of(event: CacheEvent) -> int:
    return event.sequence


def _cached_probability(
    cache: _ReplicaCache, digest: str, now_s: float
) -> float:
    """Return the probability of a prefix, reduced by age and event gaps."""
    cached_prefix = cache.prefixes.get(digest)
    if cached_prefix is None:
        return 0.0
    gap_factor = GAP_PROBABILITY_FACTOR ** (cache.gaps - cached_prefix.gaps)
    age_s = now_s - cached_prefix.recorded_s
    return (
        cached_prefix.probability
        * gap_factor
        * 0.5 ** (age_s / PROBABILITY_HALF_LIFE_S)
    )


def make_prefixes(text: str, prompt_tokens: int) -> tuple[Prefix, ...]:
    """Return the prefixes of a prompt, shortest first.

    Lengths double from 256 characters, as in the engines' cache events.
    """
    prefixes = []
    length = MIN_PREFIX_CHARACTERS
    while length <= len(text):
        digest = xxhash.xxh3_64_hexdigest(text[:length].encode())
        tokens = prompt_tokens * length // len(text)
        prefixes.append(Prefix(digest, tokens))
        length *= 2
    return tuple(prefixes)


def make_prefix_cache_index(
    max_prefixes: int = MAX_PREFIXES,
) -> PrefixCacheIndex:
    """Return an empty index that holds up to that many prefixes by replica."""
    return PrefixCacheIndex(max_prefixes)
