"""Entries of targets, configurations and raw records as other writers may leave them."""

import json

from standins.site import build_config, build_tenant

DEEP = 100_000  # levels, far beyond the interpreter's recursion limit

RAW_FIELDS = {
    "service": '"app"',
    "address": '"127.0.0.1:9"',
    "zone": '"zone-a"',
    "version": '"v1"',
    "slots": "8",
    "state": '"ready"',
    "sequence": "1",
    "born": "1",
}


def build_entry(**raw_fields):
    """Return an entry of a target, given raw JSON text of fields; None leaves one out."""
    fields = {k: v for k, v in (RAW_FIELDS | raw_fields).items() if v is not None}
    return ("{" + ",".join(f'"{name}":{text}' for name, text in fields.items()) + "}").encode()


def nested_arrays(levels=DEEP):
    """Return nested arrays as JSON text."""
    return "[" * levels + "]" * levels


def nested_objects(levels=DEEP // 2):
    """Return nested objects as JSON text."""
    return '{"a":' * levels + "1" + "}" * levels


ODD_ADDRESSES = {
    "port-of-5000-digits": "127.0.0.1:" + "9" * 5000,
    "port-superscript": "127.0.0.1:²",
    "port-arabic-digits": "127.0.0.1:٨٠",
    "port-99999": "127.0.0.1:99999",
    "port-0": "127.0.0.1:0",
    "port-signed": "127.0.0.1:+80",
    "port-missing": "127.0.0.1:",
    "host-missing": ":80",
    "host-of-300-characters": "a" * 300 + ":80",
    "host-of-long-label": "a" * 64 + ".example:80",
    "host-with-space": "not a host:80",
    "host-with-two-dots": "a..example:80",
    "host-not-ascii": "b\u00fccher.example:80",
    "host-no-ipv4": "127.0.0.300:80",
    "host-ipv6-without-brackets": "::1:80",
    "host-with-line-break": "a\r\nb:80",
    "host-with-null": "127.0.0.1\0:80",
}
ODD_ENTRIES = {
    "nested-arrays": build_entry(odd=nested_arrays()),
    "nested-objects": build_entry(odd=nested_objects()),
    "nested-service": build_entry(service=nested_arrays()),
    "larger-than-an-entry": build_entry(odd=json.dumps("x" * 500_000)),
    "service-null": build_entry(service="null"),
    "service-array": build_entry(service='["app"]'),
    "service-lone-surrogate": build_entry(service='"\\ud800"'),
    "service-missing": build_entry(service=None),
    "zone-number": build_entry(zone="7"),
    "zone-missing": build_entry(zone=None),
    "state-odd": build_entry(state='"READY"'),
    "state-missing": build_entry(state=None),
    "slots-of-400-digits": build_entry(slots="9" * 400),
    "slots-of-5000-digits": build_entry(slots="9" * 5000),
    "slots-2-to-62": build_entry(slots=str(2**62)),
    "slots-10-million": build_entry(slots="10000000"),
    "slots-0": build_entry(slots="0"),
    "slots-negative": build_entry(slots="-8"),
    "slots-fraction": build_entry(slots="1.5"),
    "slots-1e999": build_entry(slots="1e999"),
    "slots-null": build_entry(slots="null"),
    "born-of-400-digits": build_entry(born="9" * 400),
    "born-negative": build_entry(born="-1"),
    "born-fraction": build_entry(born="1.5"),
    "sequence-1e999": build_entry(sequence="1e999"),
    "sequence-nan": build_entry(sequence="NaN"),
    "sequence-infinity": build_entry(sequence="Infinity"),
    "address-number": build_entry(address="80"),
    "address-nested": build_entry(address=nested_arrays()),
    "not-json": b"<entry/>",
    "not-utf-8": b"\xff\xfe" + build_entry(),
    "no-object": b"[]",
    "half": build_entry()[:40],
} | {name: build_entry(address=json.dumps(address)) for name, address in ODD_ADDRESSES.items()}

ODD_IDS = {
    "line-break": "a\r\nCeleryrun-Tenant: herd",
    "space": "a b",
    "not-ascii": "\u00fc",
    "null": "a\0",
}

# Records of a keyed topic: the length of a key, the key, the value.
ODD_RECORDS = {
    "empty": b"",
    "key-longer-than-the-record": b"\x20app",
    "no-key": b"\x00" + build_entry(),
    "nothing-but-a-length": b"\x00",
    "key-not-utf-8": b"\x03\xff\xfe\xfd" + build_entry(),
    "deletion-of-a-key-not-utf-8": b"\x03\xff\xfe\xfd",
}

# Keys and values of the nodes' own topic.
ODD_NODE_RECORDS = {
    "nested": (
        "node.node-9",
        b'{"address":"127.0.0.1:9","zone":"z","odd":' + nested_arrays().encode() + b"}",
    ),
    "port-superscript": ("node.node-9", '{"address":"127.0.0.1:²","zone":"z"}'.encode()),
    "speed-1e999": ("node.node-9", b'{"address":"127.0.0.1:9","zone":"z","speed":1e999}'),
    "speed-1e300": ("node.node-9", b'{"address":"127.0.0.1:9","zone":"z","speed":1e300}'),
    "not-json": ("node.node-9", b"\xff"),
    "part-of-200-digits": ("crash.part." + "f" * 200, b"9"),
    "part-negative": ("crash.part.-1", b"9"),
    "part-crashes-of-5000-digits": ("crash.part.ab", b"9" * 5000),
    "part-crashes-negative": ("crash.part.ab", b"-9"),
    "request-of-200-digits": ("crash.request." + "f" * 200, b"3"),
    "request-crashes-not-ascii": ("crash.request.ab", "³".encode()),
}


def build_odd_config(**raw_fields):
    """Return version 5 of a configuration, with raw JSON text of top-level fields."""
    fields = {name: json.dumps(value) for name, value in build_config(5).items()} | raw_fields
    return ("{" + ",".join(f'"{name}":{text}' for name, text in fields.items()) + "}").encode()


def _change_route(**raw_fields):
    routes = build_config()["routes"]
    first = {name: json.dumps(value) for name, value in routes[0].items()} | raw_fields
    text = "{" + ",".join(f'"{name}":{value}' for name, value in first.items()) + "}"
    return build_odd_config(routes=f"[{text}]")


def _change_tenant(**raw_fields):
    tenant = build_tenant("cajas", "key-cajas")
    fields = {name: json.dumps(value) for name, value in tenant.items()} | raw_fields
    text = "{" + ",".join(f'"{name}":{value}' for name, value in fields.items()) + "}"
    return build_odd_config(tenants=f"[{text}]")


ODD_CONFIGS = {
    "nested-arrays": build_odd_config(odd=nested_arrays()),
    "nested-objects": build_odd_config(odd=nested_objects()),
    "version-of-400-digits": build_odd_config(version="9" * 400),
    "version-negative": build_odd_config(version="-1"),
    "version-fraction": build_odd_config(version="1.5"),
    "routes-null": build_odd_config(routes="null"),
    "timeout-1e999": _change_route(timeoutMs="1e999"),
    "timeout-1e300": _change_route(timeoutMs="1e300"),
    "timeout-nan": _change_route(timeoutMs="NaN"),
    "timeout-negative": _change_route(timeoutMs="-5"),
    "priority-of-400-digits": _change_route(priority="9" * 400),
    "attempts-of-400-digits": _change_route(maxAttempts="9" * 400),
    "weights-0": _change_route(split='[{"service":"app","weight":0},{"service":"b","weight":0}]'),
    "weight-negative": _change_route(split='[{"service":"app","weight":-1},{"service":"b"}]'),
    "weights-1e308": _change_route(
        split='[{"service":"app","weight":1e308},{"service":"b","weight":1e308}]'
    ),
    "header-limit-of-400-digits": build_odd_config(limits='{"maxHeaderBytes":' + "9" * 400 + "}"),
    "idle-timeout-1e300": build_odd_config(limits='{"idleTimeoutMs":1e300}'),
    "tenant-with-line-break": _change_tenant(name='"a\\r\\nCeleryrun-Pin-Ms: 9"'),
    "burst-1e300": _change_tenant(burst="1e300"),
    "plain-tokens-of-400-digits": _change_tenant(plainTokens="9" * 400),
    "not-json": b"\xff",
    "half": build_odd_config()[:200],
}
