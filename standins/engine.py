"""Stand-in model engine: continuous batching that lets everything in.

One thread takes steps. A step lasts ``step * (1 + running / KNEE)`` seconds, gives each running
stream one token, and spends up to ``PREFILL_TOKENS`` on prompts that are not yet read. With
``--batch N`` the knee is at N, and more than N streams share the steps of N.

Further faults: ``speed`` (factor), ``crash_on`` (text in a prompt that ends the process),
``leaving`` (new work is refused), ``gap_events`` (every n-th cache event is lost),
``short_streams``, ``crossed_streams`` and ``duplicate_events`` (counts).
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

KNEE = 16
PREFILL_TOKENS = 512
CHARS_PER_TOKEN = 4
BLOCK_CHARS = 256
REPORT_LAG = 1.0  # s
STREAMS_KEPT = 2000
RECORDED_CHARS = 100


class _Stream:
    def __init__(self, stream_id: str, prompt: str, max_tokens: int, cached: int) -> None:
        self.id = stream_id
        self.prompt_tokens = max(1, len(prompt) // CHARS_PER_TOKEN)
        self.cached_tokens = min(cached, self.prompt_tokens - 1)
        self.unread = self.prompt_tokens - self.cached_tokens
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
    """Streams, prefix cache and batch of one engine."""

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
        self.reports: list[tuple[float, int]] = []
        self.dispatched: list[str] = []
        self.prefill_tokens = 0
        self.prefill_wasted = 0

    def add(self, stream_id: str, prompt: str, max_tokens: int) -> _Stream:
        with self.changed:
            self.dispatched.append(stream_id)
            stream = _Stream(stream_id, prompt, max_tokens, self.cached_tokens(prompt))
            self.prefill_tokens += stream.unread
            self.streams[stream_id] = stream
            while len(self.streams) > STREAMS_KEPT:
                self.streams.popitem(last=False)
            self.running.append(stream)
            self.changed.notify_all()
            return stream

    def cached_tokens(self, prompt: str) -> int:
        cached, digest, hit = 0, hashlib.blake2b(digest_size=8), True
        for start in range(0, len(prompt) - BLOCK_CHARS + 1, BLOCK_CHARS):
            digest.update(prompt[start : start + BLOCK_CHARS].encode())
            block = digest.hexdigest()
            hit = hit and block in self.cache
            cached += (BLOCK_CHARS // CHARS_PER_TOKEN) if hit else 0
            self.keep_block(block)
        return cached

    def keep_block(self, block: str) -> None:
        if block not in self.cache:
            self.events.append({"kind": "stored", "block": block})
        self.cache[block] = None
        self.cache.move_to_end(block)
        while len(self.cache) > self.cache_blocks:
            gone, _ = self.cache.popitem(last=False)
            self.events.append({"kind": "removed", "block": gone})

    def cancel(self, stream_id: str) -> bool:
        with self.changed:
            stream = self.streams.get(stream_id)
            if stream is None or stream.done:
                return False
            stream.cancelled = True
            self.prefill_wasted += stream.prompt_tokens - stream.cached_tokens - stream.unread
            self.running = [other for other in self.running if other is not stream]
            self.changed.notify_all()
            return True

    def run(self) -> None:
        """Take steps for ever."""
        due = 0.0
        while True:
            with self.changed:
                self.changed.wait_for(lambda: bool(self.running))
                due = max(due, time.monotonic() - self.step) + self.step_seconds()
            time.sleep(max(0.0, due - time.monotonic()))
            with self.changed:
                self.take_step()
                self.changed.notify_all()

    def step_seconds(self) -> float:
        count = len(self.running)
        if not self.batch:
            return self.step * (1 + count / KNEE) / self.speed
        together = min(count, self.batch)
        return self.step * (1 + together / self.batch) * max(1, count / self.batch) / self.speed

    def take_step(self) -> None:
        self.reports.append((time.monotonic(), len(self.running)))
        del self.reports[:-1000]
        budget = self.prefill
        for stream in self.running:
            if stream.unread:
                read = min(budget, stream.unread)
                stream.unread -= read
                budget -= read
            else:
                stream.tokens += 1
        self.running = [stream for stream in self.running if not stream.done]

    def load(self) -> int:
        """Return how many streams ran some time ago."""
        oldest = time.monotonic() - REPORT_LAG
        return next((count for when, count in reversed(self.reports) if when <= oldest), 0)

    def obey(self, order: dict[str, Any]) -> bool:
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

    def answer(self) -> None:
        engine, parts = self.engine, self.path_only.strip("/").split("/")
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
                obeyed = engine.obey(json.loads(self.body))
                self.send_json(200 if obeyed else 409, {"fence": engine.fence})
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
        stream = self.engine.add(request["stream_id"], request["prompt"], request["max_tokens"])
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
                ready = stream.tokens
            if stream.cancelled:
                return
            while index < ready:
                if self.faults.take("short_streams"):
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
        self.stay_silent_if_told()
        shown_id = "another" if self.faults.take("crossed_streams") else stream.id
        line = b"data: " + json.dumps({"id": shown_id, **event}).encode() + b"\n\n"
        self.wfile.write(line * 2 if self.faults.take("duplicate_events") else line)
        self.wfile.flush()

    def send_events(self, after: int) -> None:
        gap = self.faults.get("gap_events", 0)
        events = [
            {"seq": seq, **event}
            for seq, event in enumerate(self.engine.events[after:], after + 1)
            if not gap or seq % gap
        ]
        self.send_json(200, {"events": events})


def main() -> None:
    """Run the stand-in."""
    parser = base_parser("stand-in model engine")
    parser.add_argument("--step", type=float, default=0.02, help="seconds for each token")
    parser.add_argument("--cache-blocks", type=int, default=256)
    parser.add_argument("--fencing", action="store_true")
    parser.add_argument("--batch", type=int, default=0, help="streams at the knee")
    parser.add_argument("--prefill", type=int, default=PREFILL_TOKENS, help="tokens for each step")
    parser.add_argument("--crash-on", default="", help="text in a prompt that ends it")
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
