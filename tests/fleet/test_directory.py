"""The directory through drains, zones taken out, and outages of the store."""

from gentianhoist.fleet import BackendServer, Directory, ServerListing, ServerState


def _server(id_: str, zone: str = "z1", **changes) -> BackendServer:
    server = BackendServer(id_, "g", "10.0.0.1", 8000, zone, 8)
    return server._replace(**changes)


def _listing(*servers: BackendServer) -> list[ServerListing]:
    return [ServerListing(item.id, item) for item in servers]


def _ids(directory: Directory, now_s: float) -> set[str]:
    return {item.id for item in directory.usable_members("g", now_s)}


class TestDirectory:
    def test_draining_and_removed_servers_get_nothing(self):
        directory = Directory()
        directory.replace(_listing(_server("a"), _server("b"), _server("c")), 0.0)
        draining = _server("b", state=ServerState.DRAINING)
        directory.apply_changes([*_listing(draining), ServerListing("c", None)], 10.0)
        assert "b" not in _ids(directory, 10.0)
        assert directory.find_usable("b", 10.0) is None

    def test_zone_out_and_back(self):
        directory = Directory()
        directory.replace(_listing(_server("a"), _server("b", "z2")), 0.0)
        directory.set_zones_out({"z2"})
        assert _ids(directory, 0.0) == {"a"}
        directory.set_zones_out(())
        assert _ids(directory, 0.0) == {"a", "b"}

    def test_removal_in_calm_is_at_once(self):
        """Also after a long time in which nothing changed."""
        directory = Directory()
        directory.replace(_listing(_server("a"), _server("b")), 0.0)
        directory.apply_changes([ServerListing("b", None)], 30.0)
        assert _ids(directory, 30.0) == {"a"}

    def test_servers_missing_after_an_outage_may_come_back(self):
        directory = Directory()
        directory.replace(_listing(_server("a"), _server("b")), 0.0)
        directory.on_store_recovered(10.0)
        directory.replace(_listing(_server("a")), 10.0)
        assert _ids(directory, 10.5) == {"a", "b"}
        directory.apply_changes([], 11.6)
        assert _ids(directory, 11.6) == {"a"}

    def test_one_that_came_back_stays(self):
        directory = Directory()
        directory.replace(_listing(_server("a"), _server("b")), 0.0)
        directory.on_store_recovered(10.0)
        directory.replace(_listing(_server("a")), 10.0)
        directory.apply_changes(_listing(_server("b")), 10.8)
        directory.apply_changes([], 13.0)
        assert _ids(directory, 13.0) == {"a", "b"}

    def test_another_incarnation_replaces_the_last(self):
        directory = Directory()
        directory.replace(_listing(_server("a", started_ms=1)), 0.0)
        directory.apply_changes(_listing(_server("a", started_ms=2)), 1.0)
        assert directory.servers["a"].started_ms == 2
        assert [item.started_ms for item in directory.usable_members("g", 1.0)] == [2]
