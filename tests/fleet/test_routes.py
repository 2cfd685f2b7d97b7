"""Route matching, API keys, and a configuration whose version never decreases."""

from hypothesis import given
from hypothesis import strategies as st

from gentianhoist.fleet import (
    Idempotency,
    Organisation,
    Route,
    RoutingConfiguration,
    RoutingReplica,
    WeightedGroup,
)
from gentianhoist.http1 import RequestLimits


def _route(prefix: str, *, host: str = "a", anonymous: bool = False) -> Route:
    groups = (WeightedGroup("g", 1.0),)
    return Route(
        prefix,
        host,
        prefix,
        groups,
        Idempotency.IDEMPOTENT,
        False,
        1.0,
        0.1,
        0.1,
        2.0,
        1,
        1,
        anonymous,
    )


def _configuration(version: int, *routes: Route) -> RoutingConfiguration:
    return RoutingConfiguration(
        version,
        routes,
        {},
        {"key": Organisation("club")},
        keys_required=True,
        limits=RequestLimits(),
    )


class TestMatchRoute:
    def test_the_longest_prefix_of_the_host_wins(self):
        configuration = _configuration(
            1, _route("/a/"), _route("/a/b/"), _route("/a/b/", host="other")
        )
        assert configuration.match_route("a", "/a/b/c").prefix == "/a/b/"
        assert configuration.match_route("a", "/a/x").prefix == "/a/"
        assert configuration.match_route("a", "/b/") is None
        assert configuration.match_route("none", "/a/") is None

    def test_a_prefix_ends_at_a_slash(self):
        assert _configuration(1, _route("/a/")).match_route("a", "/ab/") is None

    @given(st.lists(st.sampled_from(["/", "/a/", "/a/b/", "/c/"])), st.text("/abc"))
    def test_matches_the_longest_prefix_of_the_path(self, prefixes, path):
        configuration = _configuration(1, *map(_route, prefixes))
        matching = [prefix for prefix in prefixes if path.startswith(prefix)]
        found = configuration.match_route("a", path)
        longest = max(matching, key=len, default=None)
        assert (found.prefix if found else None) == longest


class TestKeys:
    def test_authorises_known_keys_and_anonymous_routes(self):
        configuration = _configuration(1)
        assert configuration.is_authorised(_route("/a/"), "key")
        assert not configuration.is_authorised(_route("/a/"), "other")
        assert not configuration.is_authorised(_route("/a/"), "")
        assert configuration.is_authorised(_route("/a/", anonymous=True), "")


class TestRoutingReplica:
    @given(st.lists(st.integers(1, 50)))
    def test_version_never_decreases(self, versions):
        """Snapshots and changes overtake each other, so versions repeat or reorder."""
        replica = RoutingReplica()
        highest = 0
        for version in versions:
            taken = replica.update_if_newer(_configuration(version))
            assert taken == (version > highest)
            highest = max(highest, version)
            assert replica.version == highest
