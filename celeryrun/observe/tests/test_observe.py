"""Logs and metrics in memory and of node processes."""

import io
import json
import re
import socket
import threading

import logbook

from celeryrun.front._server import Server
from celeryrun.kernel import check_invariant, violation_counts
from celeryrun.observe import (
    Metrics,
    json_handler,
    redirect_errors_to_log,
    request_context,
)
from celeryrun.observe._metrics import MAX_WORKSPACE_LABELS


def test_each_line_is_json_for_any_message():
    stream = io.StringIO()
    with json_handler("node-0", "info", stream).applicationbound():
        with request_context("id-1", "cajas"):
            logbook.Logger("test").info("two\nlines and a {}", '"quote"')
        try:
            raise ValueError("bad")
        except ValueError:
            Server(("127.0.0.1", 0), None).error_log("oops", traceback=True)
    first, second = map(json.loads, stream.getvalue().splitlines())
    assert (first["request_id"], first["workspace"]) == ("id-1", "cajas")
    assert first["message"] == 'two\nlines and a "quote"'
    assert second["from"] == "http"
    assert "ValueError: bad" in second["exception"]


def test_uncaught_exception_of_a_thread_is_logged(monkeypatch):
    monkeypatch.setattr("sys.excepthook", None)
    monkeypatch.setattr("threading.excepthook", None)
    monkeypatch.setattr("logbook.compat.redirect_logging", lambda: None)
    monkeypatch.setattr("logbook.compat.redirect_warnings", lambda: None)
    redirect_errors_to_log()
    stream = io.StringIO()
    with json_handler("node-0", "info", stream).applicationbound():
        thread = threading.Thread(target=lambda: 1 / 0)
        thread.start()
        thread.join()
    line = json.loads(stream.getvalue())
    assert line["message"] == "uncaught ZeroDivisionError"
    assert "1 / 0" in line["exception"]


def test_number_of_workspace_labels_is_bounded():
    metrics = Metrics()
    for number in range(2400):
        label = metrics.label(f"workspace-{number}")
        metrics.whole_answer.labels(label, "1").observe(0.1)
    counts = re.findall(rb"celeryrun_whole_answer_seconds_count\{", metrics.render())
    assert len(counts) == MAX_WORKSPACE_LABELS + 1
    other = rb'celeryrun_whole_answer_seconds_count\{tier="1",workspace="other"\} (\S+)'
    assert float(re.search(other, metrics.render())[1]) == 2400 - MAX_WORKSPACE_LABELS


def test_violations_are_counted_by_invariant():
    check_invariant(False, "test-invariant")
    try:
        exposition = Metrics().render()
    finally:
        del violation_counts["test-invariant"]
    assert b'celeryrun_invariant_violations_total{invariant="test-invariant"} 1.0' in exposition


def test_every_log_line_of_a_node_is_json_and_has_the_request_id(fleet):
    node = fleet.nodes[0]
    for number in range(3):
        headers = {"Request_Id": f"log-{number}"}
        body = {"prompt": "x", "max_tokens": 1}
        response = fleet.request(node, "routes", "POST", "/drafts/v1/generate", body, **headers)
        assert response.status == 200
    fleet.request(node, "routes", "GET", "/nowhere")
    with socket.create_connection(("127.0.0.1", fleet.port_by_name[node]), 2.0) as connection:
        connection.sendall(b"\x16\x03\x01 this is no HTTP\r\n\r\n")
        connection.recv(100)
    for name in fleet.nodes:
        lines = (fleet.folder / f"{name}.log").read_text().splitlines()
        parsed = [json.loads(line) for line in lines]
        assert parsed
        assert all({"time", "level", "node", "from", "message"} <= set(line) for line in parsed)
        if name == node:
            request_ids = {
                line.get("request_id") for line in parsed if "answered" in line["message"]
            }
            assert {"log-0", "log-1", "log-2"} <= request_ids


def test_health_and_metrics_of_a_node(fleet):
    node = fleet.nodes[1]
    fleet.request(node, "routes", "GET", "/nowhere")
    fleet.request(node, "routes", "GET", "/warehouse/stock/crates")
    base = f"http://127.0.0.1:{fleet.operator_port_by_name[node]}"
    assert fleet.http.request("GET", base + "/livez").status == 200
    assert fleet.http.request("GET", base + "/readyz").status == 200
    assert fleet.http.request("GET", base + "/other").status == 404
    text = fleet.http.request("GET", base + "/metrics").data.decode()
    assert 'celeryrun_refusals_total{kind="unknown-pool"} 1.0' in text
    assert 'celeryrun_queue_wait_seconds_count{tier="2",workspace="routes"} 1.0' in text
    assert 'celeryrun_answers_total{outcome="complete",tier="2",workspace="routes"} 1.0' in text
    assert 'celeryrun_state{what="ready"} 1.0' in text
