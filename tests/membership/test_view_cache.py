"""The cached view of the members."""

from cressrock.membership.view_cache import MAX_AGE_MS, SMALL_CLUSTER_SIZE, ViewCache


def test_a_view_is_cached_for_a_multiple_of_its_cost_and_a_small_one_until_a_change():
    """Danger: views of thousands, made for each room that looks, take most of a core."""
    few, many = (None,) * SMALL_CLUSTER_SIZE, (None,) * (SMALL_CLUSTER_SIZE + 1)
    for view, changes_count in ((few, True), (many, False)):
        cache = ViewCache()
        assert cache.is_stale(0.0)
        cache.store(view, 100.0, 104.0)
        assert cache.view is view and not cache.is_stale(299.9) and cache.is_stale(300.0)
        cache.invalidate()
        assert cache.is_stale(101.0) is changes_count
    cache.store(many, 1000.0, 1000.0 + MAX_AGE_MS)
    assert cache.is_stale(1000.0 + MAX_AGE_MS)
