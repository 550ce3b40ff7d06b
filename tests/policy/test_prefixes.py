"""Prefix cache estimates: event gaps, late evictions, bounded memory."""

from snipebridge.policy.prefixes import (
    CacheEvent,
    CacheEventKind,
    make_prefix_cache_index,
    make_prefixes,
)

PREFIXES = make_prefixes('x' * 2048, prompt_tokens=512)
LONGEST = PREFIXES[-1].digest


def _cached(index, now_s=0.0):
    return index.cached_tokens('engine-1', PREFIXES, now_s)


def test_prefixes_double_and_cover_the_prompt():
    """Digests come for 256, 512, 1024 and 2048 characters."""
    assert [prefix.tokens for prefix in PREFIXES] == [64, 128, 256, 512]
    assert make_prefixes('x' * 255, prompt_tokens=64) == ()


def test_event_gap_lowers_the_probability():
    """Prefixes recorded before a gap stay known with less probability."""
    index = make_prefix_cache_index()
    index.record_events('engine-1', [], last_sequence=3, now_s=0.0)
    index.record_dispatch('engine-1', PREFIXES, now_s=0.0)
    before = _cached(index)
    other = CacheEvent(6, CacheEventKind.STORED, 'other')
    index.record_events('engine-1', [other], last_sequence=6, now_s=0.0)
    assert 0.5 * before < _cached(index) < before


def test_late_eviction_does_not_undo_a_later_dispatch():
    """A delayed eviction may predate a dispatch that stored the prefix."""
    eviction = CacheEvent(0, CacheEventKind.EVICTED, LONGEST)
    index = make_prefix_cache_index()
    index.record_dispatch('engine-1', PREFIXES, now_s=0.0)
    before = _cached(index)
    index.record_events('engine-1', [eviction], last_sequence=0, now_s=1.0)
    doubted = _cached(index)
    assert 256 * 0.9 < doubted < before
    eviction = CacheEvent(1, CacheEventKind.EVICTED, LONGEST)
    index.record_events('engine-1', [eviction], last_sequence=1, now_s=60.0)
    assert _cached(index, now_s=60.0) < 256


def test_restarted_engine_has_an_empty_cache():
    """A last sequence below the known one means a restarted process."""
    index = make_prefix_cache_index()
    index.record_events('engine-1', [], last_sequence=9, now_s=0.0)
    index.record_dispatch('engine-1', PREFIXES, now_s=0.0)
    index.record_events('engine-1', [], last_sequence=2, now_s=0.0)
    assert _cached(index) == 0


def test_memory_is_bounded():
    """The oldest prefixes are evicted first."""
    index = make_prefix_cache_index(max_prefixes=10)
    for number in range(100):
        prompt = f'{number:04}' * 64
        prefixes = make_prefixes(prompt, prompt_tokens=64)
        index.record_dispatch('engine-1', prefixes, now_s=0.0)
    assert index.size('engine-1') == 10
    assert index.likely_holder(prefixes) == 'engine-1'
