"""The cache of the membership view."""

from cressrock.membership.view_cache import MAX_AGE_MS, SMALL_CLUSTER_SIZE, ViewCache


def test_a_view_is_cached_in_proportion_to_its_cost_and_a_small_one_expires_on_change():
    """Without the cache, computing views of thousands of members for each room uses most of a core."""
    small_view, large_view = (None,) * SMALL_CLUSTER_SIZE, (None,) * (SMALL_CLUSTER_SIZE + 1)
    for view, expires_on_change in ((small_view, True), (large_view, False)):
        cache = ViewCache()
        assert cache.is_stale(0.0)
        cache.store(view, 100.0, 104.0)
        assert cache.view is view and not cache.is_stale(299.9) and cache.is_stale(300.0)
        cache.invalidate()
        assert cache.is_stale(101.0) is expires_on_change
    cache.store(large_view, 1000.0, 1000.0 + MAX_AGE_MS)
    assert cache.is_stale(1000.0 + MAX_AGE_MS)
