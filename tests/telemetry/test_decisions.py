"""Tests that the decision log writes whole JSON lines, bounded and without blocking."""

import io
import json
import os
import threading

from gentianhoist.telemetry import DecisionLog


class TestDecisionLog:
    def test_writes_one_json_object_per_line(self):
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

    def test_blocked_output_does_not_block_record(self):
        """When the output is a full pipe, lines are dropped and counted."""
        read_fd, write_fd = os.pipe()
        stream = os.fdopen(write_fd, "w")
        log = DecisionLog({}, stream, max_lines=100)
        log.start()
        all_recorded = threading.Event()

        def record_many() -> None:
            for number in range(20_000):
                log.record("placed", f"r{number}", text="x" * 100)
            all_recorded.set()

        thread = threading.Thread(target=record_many, daemon=True)
        thread.start()
        assert all_recorded.wait(timeout=30.0)
        assert log.dropped_lines > 0
        os.close(read_fd)
        log.close()

    def test_reports_dropped_lines(self):
        stream = io.StringIO()
        log = DecisionLog({}, stream, max_lines=2)
        for number in range(5):
            log.record("placed", f"r{number}")
        log.start()
        log.close()
        last = json.loads(stream.getvalue().splitlines()[-1])
        assert last == {"decision": "lines_dropped", "count": 3}

    def test_write_to_closed_stream_is_counted_as_dropped(self):
        stream = io.StringIO()
        stream.close()
        log = DecisionLog({}, stream)
        log.record("placed")
        log.start()
        log.close()
        assert log.dropped_lines == 1
