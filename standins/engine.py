"""Stand-in model engine: continuous batching without admission control.

One thread runs the steps. A step lasts ``step * (1 + running / KNEE_STREAMS)`` seconds, generates
one token for each running stream whose prompt is read, and prefills up to ``PREFILL_TOKENS`` prompt
tokens of the others. With ``--batch N`` the knee is at N streams, and the steps get longer in
proportion beyond N.

Faults beside those of every stand-in:

- ``speed``: factor of the speed of the steps.
- ``crash_on``: text in a prompt that ends the process.
- ``leaving``: new streams are rejected with ``Target-Leaving``.
- ``gap_events``: every n-th cache event is left out.
- ``short_streams``, ``crossed_streams``, ``duplicate_events``: number of streams that end early,
  events with the id of another stream, and events that are sent twice.
"""

from __future__ import annotations

import hashlib
import json
import os
import threading
import time
from collections import OrderedDict
from typing import Any

from standins._http import Handler, Recorder, base_parser, run_server

__all__ = ["Engine"]

KNEE_STREAMS = 16  # running streams that double the length of a step
PREFILL_TOKENS = 512  # prompt tokens prefilled in one step
CHARS_PER_TOKEN = 4
BLOCK_CHARS = 256  # characters of a prefix cache block
REPORT_LAG = 1.0  # s, age of the reported load
MAX_STREAMS = 2000  # newest streams kept, finished or not, from which a client can resume
RECORDED_CHARS = 100  # characters of a prompt in the record of requests


class _Stream:
    def __init__(self, stream_id: str, prompt: str, max_tokens: int, cached: int) -> None:
        self.id = stream_id
        self.prompt_tokens = max(1, len(prompt) // CHARS_PER_TOKEN)
        self.cached_tokens = min(cached, self.prompt_tokens - 1)
        self.unread_tokens = self.prompt_tokens - self.cached_tokens
        self.max_tokens = max_tokens
        self.tokens = 0
        self.cancelled = False
        self.seed = hashlib.blake2b(prompt.encode(), digest_size=4).hexdigest()

    @property
    def done(self) -> bool:
        return self.tokens >= self.max_tokens

    def text(self, index: int) -> str:
        return f"{self.seed}.{index} "


class Engine:
    """Streams, prefix cache and running batch of one engine."""

    def __init__(
        self,
        name: str,
        step: float,
        cache_blocks: int,
        fencing: bool,
        batch: int = 0,
        prefill: int = PREFILL_TOKENS,
    ) -> None:
        self.name = name
        self.step = step
        self.batch = batch
        self.prefill = prefill
        self.speed = 1.0
        self.cache_blocks = cache_blocks
        self.fencing = fencing
        self.fence = 0
        self.orders: list[dict[str, Any]] = []
        self.changed = threading.Condition()
        self.streams: OrderedDict[str, _Stream] = OrderedDict()
        self.running: list[_Stream] = []
        self.cache: OrderedDict[str, None] = OrderedDict()
        self.events: list[dict[str, Any]] = []
        self.load_history: list[tuple[float, int]] = []
        self.dispatched: list[str] = []
        self.prefill_tokens = 0
        self.prefill_wasted = 0

    def add_stream(self, stream_id: str, prompt: str, max_tokens: int) -> _Stream:
        with self.changed:
            self.dispatched.append(stream_id)
            stream = _Stream(stream_id, prompt, max_tokens, self.lookup_prefix(prompt))
            self.prefill_tokens += stream.unread_tokens
            self.streams[stream_id] = stream
            while len(self.streams) > MAX_STREAMS:
                self.streams.popitem(last=False)
            self.running.append(stream)
            self.changed.notify_all()
            return stream

    def lookup_prefix(self, prompt: str) -> int:
        """Return the number of cached tokens at the start of a prompt, and cache its blocks."""
        cached, digest, hit = 0, hashlib.blake2b(digest_size=8), True
        for start in range(0, len(prompt) - BLOCK_CHARS + 1, BLOCK_CHARS):
            digest.update(prompt[start : start + BLOCK_CHARS].encode())
            block = digest.hexdigest()
            hit = hit and block in self.cache
            cached += (BLOCK_CHARS // CHARS_PER_TOKEN) if hit else 0
            self.cache_block(block)
        return cached

    def cache_block(self, block: str) -> None:
        if block not in self.cache:
            self.events.append({"kind": "stored", "block": block})
        self.cache[block] = None
        self.cache.move_to_end(block)
        while len(self.cache) > self.cache_blocks:
            evicted, _ = self.cache.popitem(last=False)
            self.events.append({"kind": "removed", "block": evicted})

    def cancel(self, stream_id: str) -> bool:
        with self.changed:
            stream = self.streams.get(stream_id)
            if stream is None or stream.done:
                return False
            stream.cancelled = True
            self.prefill_wasted += (
                stream.prompt_tokens - stream.cached_tokens - stream.unread_tokens
            )
            self.running = [other for other in self.running if other is not stream]
            self.changed.notify_all()
            return True

    def run(self) -> None:
        """Run steps forever, on schedule while there are running streams."""
        due = 0.0
        while True:
            with self.changed:
                self.changed.wait_for(lambda: bool(self.running))
                due = max(due, time.monotonic() - self.step) + self.step_duration()
            time.sleep(max(0.0, due - time.monotonic()))
            with self.changed:
                self.run_step()
                self.changed.notify_all()

    def step_duration(self) -> float:
        count = len(self.running)
        if not self.batch:
            return self.step * (1 + count / KNEE_STREAMS) / self.speed
        batched = min(count, self.batch)
        return self.step * (1 + batched / self.batch) * max(1, count / self.batch) / self.speed

    def run_step(self) -> None:
        self.load_history.append((time.monotonic(), len(self.running)))
        del self.load_history[:-1000]
        budget = self.prefill
        for stream in self.running:
            if stream.unread_tokens:
                read = min(budget, stream.unread_tokens)
                stream.unread_tokens -= read
                budget -= read
            else:
                stream.tokens += 1
        self.running = [stream for stream in self.running if not stream.done]

    def load(self) -> int:
        """Return the number of streams that ran `REPORT_LAG` seconds ago."""
        reported_at = time.monotonic() - REPORT_LAG
        return next((count for at, count in reversed(self.load_history) if at <= reported_at), 0)

    def apply_order(self, order: dict[str, Any]) -> bool:
        with self.changed:
            if self.fencing and order.get("fence", 0) < self.fence:
                return False
            self.fence = max(self.fence, order.get("fence", 0))
            self.orders.append(order)
            return True


class _Handler(Handler):
    engine: Engine
    recorder: Recorder
    crash_on: str

    def respond(self) -> None:
        engine, parts = self.engine, self.url_path.strip("/").split("/")
        engine.speed = self.faults.get("speed", 1.0) or 1.0
        match (self.command, parts):
            case ("POST", ["v1", "generate"]):
                self.generate()
            case ("GET", ["v1", "streams", stream_id]):
                self.send_stream(engine.streams.get(stream_id), int(self.query.get("from", 0)))
            case ("DELETE", ["v1", "streams", stream_id]):
                self.send_json(200 if engine.cancel(stream_id) else 404, {})
            case ("GET", ["v1", "load"]):
                self.send_json(200, {"running": engine.load()})
            case ("GET", ["v1", "cache", "events"]):
                self.send_events(int(self.query.get("after", 0)))
            case ("POST", ["v1", "orders"]):
                applied = engine.apply_order(json.loads(self.body))
                self.send_json(200 if applied else 409, {"fence": engine.fence})
            case ("GET", ["record"]):
                record = {
                    "dispatched": engine.dispatched,
                    "prefill_tokens": engine.prefill_tokens,
                    "prefill_wasted": engine.prefill_wasted,
                    "running": len(engine.running),
                    "orders": engine.orders,
                }
                self.send_json(200, record)
            case _:
                self.send_json(404, {"error": "unknown call"})

    def generate(self) -> None:
        if self.faults.get("leaving"):
            self.send_json(503, {"error": "leaving"}, {"Target-Leaving": "1"})
            return
        request = json.loads(self.body)
        self.recorder.write(id=request["stream_id"], prompt=request["prompt"][:RECORDED_CHARS])
        crash_on = self.faults.get("crash_on", self.crash_on)
        if crash_on and crash_on in request["prompt"]:
            os._exit(9)
        stream = self.engine.add_stream(
            request["stream_id"], request["prompt"], request["max_tokens"]
        )
        self.send_stream(stream, 0)

    def send_stream(self, stream: _Stream | None, index: int) -> None:
        if stream is None:
            self.send_json(404, {"error": "unknown stream"})
            return
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Connection", "close")
        self.close_connection = True
        self.end_headers()
        while index < stream.max_tokens:
            with self.engine.changed:
                while not (stream.tokens > index or stream.cancelled):
                    self.engine.changed.wait()
                available = stream.tokens
            if stream.cancelled:
                return
            while index < available:
                if self.faults.consume("short_streams"):
                    return
                self.send_event(stream, {"index": index, "text": stream.text(index)})
                index += 1
        usage = {
            "prompt_tokens": stream.prompt_tokens,
            "cached_tokens": stream.cached_tokens,
            "completion_tokens": stream.tokens,
        }
        self.send_event(stream, {"index": index, "done": True, **usage})

    def send_event(self, stream: _Stream, event: dict[str, Any]) -> None:
        self.block_if_silenced()
        sent_id = "another" if self.faults.consume("crossed_streams") else stream.id
        line = b"data: " + json.dumps({"id": sent_id, **event}).encode() + b"\n\n"
        self.wfile.write(line * 2 if self.faults.consume("duplicate_events") else line)
        self.wfile.flush()

    def send_events(self, after: int) -> None:
        gap_interval = self.faults.get("gap_events", 0)
        events = [
            {"seq": seq, **event}
            for seq, event in enumerate(self.engine.events[after:], after + 1)
            if not gap_interval or seq % gap_interval
        ]
        self.send_json(200, {"events": events})


def main() -> None:
    """Run the stand-in."""
    parser = base_parser("stand-in model engine")
    parser.add_argument("--step", type=float, default=0.02, help="seconds of a step without load")
    parser.add_argument("--cache-blocks", type=int, default=256)
    parser.add_argument("--fencing", action="store_true")
    parser.add_argument(
        "--batch", type=int, default=0, help="streams of a full batch; 0 for no limit"
    )
    parser.add_argument(
        "--prefill", type=int, default=PREFILL_TOKENS, help="prompt tokens prefilled in one step"
    )
    parser.add_argument("--crash-on", default="", help="text in a prompt that ends the process")
    options = parser.parse_args()
    engine = Engine(
        options.name,
        options.step,
        options.cache_blocks,
        options.fencing,
        options.batch,
        options.prefill,
    )
    threading.Thread(target=engine.run, daemon=True).start()
    recorder = Recorder(options.record)
    crash_on = options.crash_on
    run_server(options.port, _Handler, engine=engine, recorder=recorder, crash_on=crash_on)


if __name__ == "__main__":
    main()
