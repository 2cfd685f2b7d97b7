"""The log of decisions: one line each, whole, bounded, never waited for."""

import io
import json
import os
import threading

from gentianhoist.telemetry import DecisionLog


class TestDecisionLog:
    def test_writes_one_json_object_a_line(self):
        stream = io.StringIO()
        log = DecisionLog({"instance": "edge-1"}, stream)
        log.record("placed", "r1", server="s1", directory_age_s=0.2)
        log.record("started")
        log.start()
        log.close()
        first, second = map(json.loads, stream.getvalue().splitlines())
        assert first["request_id"] == "r1"
        assert first["instance"] == "edge-1"
        assert "request_id" not in second

    def test_a_reader_that_stops_reading_holds_up_nobody(self):
        """Standard output is a full pipe: lines are dropped and counted."""
        reader, writer = os.pipe()
        stream = os.fdopen(writer, "w")
        log = DecisionLog({}, stream, max_lines=100)
        log.start()
        done = threading.Event()

        def record_many() -> None:
            for number in range(20_000):
                log.record("placed", f"r{number}", text="x" * 100)
            done.set()

        thread = threading.Thread(target=record_many, daemon=True)
        thread.start()
        assert done.wait(timeout=30.0)
        assert log.dropped_lines > 0
        os.close(reader)
        log.close()

    def test_tells_what_was_dropped(self):
        stream = io.StringIO()
        log = DecisionLog({}, stream, max_lines=2)
        for number in range(5):
            log.record("placed", f"r{number}")
        log.start()
        log.close()
        last = json.loads(stream.getvalue().splitlines()[-1])
        assert last == {"decision": "lines_dropped", "count": 3}

    def test_a_closed_stream_is_counted_not_raised(self):
        stream = io.StringIO()
        stream.close()
        log = DecisionLog({}, stream)
        log.record("placed")
        log.start()
        log.close()
        assert log.dropped_lines == 1
