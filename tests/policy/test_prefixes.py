"""Cache knowledge is evidence that fades, in bounded memory."""

from snipebridge.policy.prefixes import (
    CacheEvent,
    CacheEventKind,
    make_prefix_cache_index,
    make_prefixes,
)

PREFIXES = make_prefixes('x' * 2048, prompt_tokens=512)
LONGEST = PREFIXES[-1].digest


def _cached(book, now_s=0.0):
    return book.cached_tokens('engine-1', PREFIXES, now_s)


def test_prefixes_double_and_cover_the_prompt():
    """Digests come for 256, 512, 1024 and 2048 characters."""
    assert [prefix.tokens for prefix in PREFIXES] == [64, 128, 256, 512]
    assert make_prefixes('x' * 255, prompt_tokens=64) == ()


def test_gap_lowers_trust_but_forgets_nothing():
    """What was known before lost events counts less after them."""
    book = make_prefix_cache_index()
    book.record_events('engine-1', [], last_sequence=3, now_s=0.0)
    book.record_dispatch('engine-1', PREFIXES, now_s=0.0)
    before = _cached(book)
    other = CacheEvent(6, CacheEventKind.STORED, 'other')
    book.record_events('engine-1', [other], last_sequence=6, now_s=0.0)
    assert 0.5 * before < _cached(book) < before


def test_late_eviction_does_not_undo_a_later_dispatch():
    """An eviction may be older than the dispatch that stored it anew."""
    eviction = CacheEvent(0, CacheEventKind.EVICTED, LONGEST)
    book = make_prefix_cache_index()
    book.record_dispatch('engine-1', PREFIXES, now_s=0.0)
    before = _cached(book)
    book.record_events('engine-1', [eviction], last_sequence=0, now_s=1.0)
    doubted = _cached(book)
    assert 256 * 0.9 < doubted < before
    eviction = CacheEvent(1, CacheEventKind.EVICTED, LONGEST)
    book.record_events('engine-1', [eviction], last_sequence=1, now_s=60.0)
    assert _cached(book, now_s=60.0) < 256


def test_restarted_engine_has_an_empty_cache():
    """A last sequence that falls back means a new process."""
    book = make_prefix_cache_index()
    book.record_events('engine-1', [], last_sequence=9, now_s=0.0)
    book.record_dispatch('engine-1', PREFIXES, now_s=0.0)
    book.record_events('engine-1', [], last_sequence=2, now_s=0.0)
    assert _cached(book) == 0


def test_memory_is_bounded():
    """The oldest prefixes are dropped first."""
    book = make_prefix_cache_index(max_prefixes=10)
    for number in range(100):
        prompt = f'{number:04}' * 64
        prefixes = make_prefixes(prompt, prompt_tokens=64)
        book.record_dispatch('engine-1', prefixes, now_s=0.0)
    assert book.size('engine-1') == 10
    assert book.likely_holder(prefixes) == 'engine-1'
