"""Registry of message kinds: unknown kinds, impossible values, repeats, snapshots."""

import msgspec
import pytest

from gentianhoist.clocks import ManualClock
from gentianhoist.peers import MessageKind, Sender
from gentianhoist.peers._registry import MessageRegistry


class _Load(msgspec.Struct, tag="x1", array_like=True):
    engine: str
    slots: int


class _Note(msgspec.Struct, tag="x2", array_like=True):
    text: str


class _Later(msgspec.Struct, tag="x1", array_like=True):
    """`_Load` as a later version has it."""

    engine: str
    slots: int
    zone: str = "a"


_SENDER = Sender("10.0.0.2", "b-1")


class _Receiver:
    def __init__(self) -> None:
        self.received: list[tuple[object, Sender, float]] = []

    def receive(self, message, sender: Sender, now_s: float) -> None:
        self.received.append((message, sender, now_s))

    @property
    def messages(self) -> list[object]:
        return [message for message, _, _ in self.received]


def _check(message: _Load) -> str | None:
    return "slots" if message.slots < 0 else None


@pytest.fixture
def receiver() -> _Receiver:
    return _Receiver()


@pytest.fixture
def registry(receiver) -> MessageRegistry:
    registry = MessageRegistry(ManualClock())
    registry.register(MessageKind(_Load, receiver.receive, check=_check))
    return registry


def _deliver(registry: MessageRegistry, data: bytes) -> None:
    for message in registry.decode(data).messages:
        registry.deliver(message, _SENDER, 1.0)


class TestMessageRegistry:
    def test_passes_messages_to_the_handler_of_their_kind(self, registry, receiver):
        _deliver(registry, registry.encode("b-1", [_Load("e", 3)]))
        assert receiver.received == [(_Load("e", 3), _SENDER, 1.0)]

    def test_unknown_kind_does_not_spoil_the_datagram(self, registry, receiver, caplog):
        # Guards against: an entry of a later version is not heard at all.
        data = registry.encode("b-1", [_Note("n"), _Load("e", 3), _Note("n")])
        _deliver(registry, data)
        assert receiver.messages == [_Load("e", 3)]
        assert "message of an entry dropped" in caplog.text

    def test_further_fields_of_a_later_version_are_ignored(self, registry, receiver):
        _deliver(registry, registry.encode("b-1", [_Later("e", 3)]))
        assert receiver.messages == [_Load("e", 3)]

    def test_impossible_value_is_dropped_and_logged(self, registry, receiver, caplog):
        _deliver(registry, registry.encode("b-1", [_Load("e", -1), _Load("f", 1)]))
        assert receiver.messages == [_Load("f", 1)]
        assert "_Load.slots" in caplog.records[0].cause

    def test_dropped_messages_are_logged_at_a_bounded_rate(self, registry, caplog):
        for _ in range(100):
            _deliver(registry, registry.encode("b-1", [_Note("n")]))
        assert len(caplog.records) == 1

    @pytest.mark.parametrize("data", [b"", b"\xc1", b"\x93\x01", b"\x92\xa1b\xa1x"])
    def test_invalid_datagram_is_an_error(self, registry, data):
        with pytest.raises(msgspec.DecodeError):
            registry.decode(data)

    def test_type_is_registered_once(self, registry, receiver):
        with pytest.raises(ValueError, match="_Load"):
            registry.register(MessageKind(_Load, receiver.receive))

    def test_snapshot_and_repeats_join_all_kinds(self, registry, receiver):
        registry.register(
            MessageKind(
                _Note,
                receiver.receive,
                snapshot=lambda host: [_Note(host)],
                repeats=lambda: [_Note("again")],
            )
        )
        assert registry.snapshot("10.0.0.9") == [_Note("10.0.0.9")]
        assert registry.repeats() == [_Note("again")]
