"""Bad input to real processes: each answers with an error and runs on."""
import argparse
import json
import os
import socket
import subprocess
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tools"))
from system import System, chat, request, wait_for  # noqa: E402


def raw(addr, data, seconds=8, stop=b"\r\n\r\n"):
    """Send bytes; read until the connection closes or the timeout."""
    host, port = addr.rsplit(":", 1)
    with socket.create_connection((host, int(port))) as c:
        c.settimeout(seconds)
        got = b""
        try:
            c.sendall(data)
            while True:
                more = c.recv(65536)
                if not more:
                    return got + b"<closed>"
                got += more
        except ConnectionError:
            return got + b"<closed>"
        except TimeoutError:
            return got


CHAT = "/v1/chat/completions"
HELLO = {"model": "letter-writer",
         "messages": [{"role": "user", "content": "x"}]}

# name, method, path, body, headers, status, type
TYPED = [
    ("no JSON", "POST", CHAT, "{nope", {}, 400, "bad_request"),
    ("empty body", "POST", CHAT, "", {}, 400, "bad_request"),
    ("a list", "POST", CHAT, "[]", {}, 400, "bad_request"),
    ("no model", "POST", CHAT, "{}", {}, 400, "bad_request"),
    ("model of another type", "POST", CHAT, '{"model":5}', {}, 400,
     "bad_request"),
    ("a model's name of 300 bytes", "POST", CHAT,
     json.dumps({"model": "m" * 300}), {}, 400, "bad_request"),
    ("JSON nested too deep", "POST", CHAT, "[" * 5000, {}, 400,
     "bad_request"),
    ("unknown model", "POST", CHAT, json.dumps(dict(HELLO, model="x")), {},
     404, "unknown_model"),
    ("unknown adapter", "POST", CHAT,
     json.dumps(dict(HELLO, model="letter-writer:x")), {}, 404,
     "unknown_model"),
    ("unknown pool", "GET", "/svc/nowhere/x", None, {}, 404, "unknown_pool"),
    ("no pool", "GET", "/svc//x", None, {}, 404, "unknown_pool"),
    ("unknown path", "GET", "/v2/x", None, {}, 404, "not_found"),
    ("wrong method", "GET", CHAT, None, {}, 400, "bad_request"),
    ("deadline that is no number", "POST", CHAT, json.dumps(HELLO),
     {"X-Deadline-Ms": "soon"}, 400, "bad_request"),
    ("deadline of zero", "POST", CHAT, json.dumps(HELLO),
     {"X-Deadline-Ms": "0"}, 400, "bad_request"),
    ("deadline of years", "POST", CHAT, json.dumps(HELLO),
     {"X-Deadline-Ms": "99999999999999"}, 400, "bad_request"),
    ("customer that is no name", "POST", CHAT, json.dumps(HELLO),
     {"X-Tenant": "a\"b"}, 400, "bad_request"),
]


def typed_answers(s):
    entry = s.addr["entry-1"]
    for name, method, path, body, headers, status, kind in TYPED:
        got, head, data = request(entry, method, path, body, headers)
        error = json.loads(data)["error"]
        assert got == status and error["type"] == kind, \
            "%s: %s %s" % (name, got, data)
        assert error["outcome"] == "not_run" and error["request_id"], name


# name, bytes; the answer is an error, or the connection closes, in time.
BROKEN = [
    ("no HTTP", b"\x00\x01\x02\x03\r\n\r\n"),
    ("bad version", b"GET / HTTP/9.9\r\n\r\n"),
    ("bad length", b"POST /v1/x HTTP/1.1\r\nContent-Length: -5\r\n\r\n"),
    ("length that is no number",
     b"POST /v1/x HTTP/1.1\r\nContent-Length: 5x\r\n\r\nabcde"),
    ("header of a megabyte", b"GET / HTTP/1.1\r\nA: " + b"a" * (1 << 20) +
     b"\r\n\r\n"),
    ("half a request line", b"GET /he"),
    ("half the headers", b"GET /healthz HTTP/1.1\r\nHos"),
    ("half the body",
     b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 99\r\n\r\n{"),
    ("body over the limit",
     b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n"
     + b"x" * 9999999),
    ("chunk that is no chunk",
     b"POST /v1/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"),
    ("a conversation of frames", b"\x00\x00\x00\x02\x01\x80"),
    ("nothing", b""),
]


def broken_requests(s):
    entry = s.addr["entry-1"]
    for name, data in BROKEN:
        got = raw(entry, data)
        assert got.endswith(b"<closed>") or b" 4" in got[:12], \
            "%s: %r" % (name, got[:200])
        assert b" 200 " not in got[:16], name
        assert s.procs["entry-1"].alive(), name + " ended the process"


def pipelined_requests(s):
    """Two requests in one write: answered in order, or closed."""
    one = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
    got = raw(s.addr["entry-1"], one + one, seconds=2)
    assert got.count(b"200 OK") >= 1, got
    body = json.dumps(HELLO).encode()
    two = (b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
           b"Content-Length: %d\r\n\r\n" % len(body)) + body
    got = raw(s.addr["entry-1"], two + two, seconds=3)
    assert s.procs["entry-1"].alive(), "it ended the process"
    assert chat(s.addr["entry-1"], "letter-writer", "on")[0] == 200


def cut_answers_are_closed(s):
    """Guards against a caller that waits for ever on a partial answer. The
    deadline passes within a stream; its last chunk is never sent, so the entry
    must close the connection."""
    body = json.dumps(dict(HELLO, stream=True, max_tokens=2000))
    got = raw(s.addr["entry-1"], (
        "POST %s HTTP/1.1\r\nHost: x\r\nX-Deadline-Ms: 700\r\n"
        "Content-Length: %d\r\n\r\n%s" % (CHAT, len(body), body)).encode())
    assert got.endswith(b"<closed>"), got[-100:]
    assert b"event: error" in got and b"[DONE]" not in got, got[-300:]
    assert not got.endswith(b"0\r\n\r\n<closed>"), "it ends like a whole one"


def callers_gone_cancel_work(s):
    """Guards against an engine that works on for a caller that has
    disconnected. The caller closes its connection during a stream, and the
    entry must notify the agent."""
    host, port = s.addr["entry-1"].rsplit(":", 1)
    body = json.dumps(dict(HELLO, stream=True, max_tokens=5000))
    c = socket.create_connection((host, int(port)))
    c.sendall(("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s"
               % (CHAT, len(body), body)).encode())
    c.recv(1000)
    c.close()
    wait_for(lambda: any(e["event"] == "cancelled"
                         for e in s.events("engine-1")), 10,
             why="the engine stops")
    assert s.procs["entry-1"].alive(), "it ended the process"


def invalid_frames_are_refused(s):
    """Guards against a process that ends, or answers over HTTP, when a peer
    sends bytes that are no frames to its port for other processes."""
    for name in ("agent-engine-1", "ctl-1"):
        addr = s.addr.get(name) or s.frame[name]
        for data in (b"GET / HTTP/1.1\r\n\r\n", b"\xff" * 64,
                     b"\x00\x00\x00\x01\x00", b""):
            assert b"HTTP" not in raw(addr, data, seconds=4)
            assert s.procs[name].alive(), "%s: %r" % (name, data)


def operators_bad_input(s):
    leader = s.operator[s.leader()]
    token = {"Authorization": "Bearer demo-token"}
    for method, path, body in (
            ("PUT", "/v1/presets/x", "{"), ("PUT", "/v1/presets/x", "[]"),
            ("PUT", "/v1/presets/x", '{"expect":0}'),
            ("PUT", "/v1/presets/x", '{"expect":0,"body":{}}'),
            ("PUT", "/v1/presets/a%20b", '{"expect":0,"body":{}}'),
            ("PATCH", "/v1/presets/peak", '{"field":"a.b.c","value":1}'),
            ("PATCH", "/v1/presets/peak",
             '{"field":"classes","value":1,"expect":1}'),
            ("POST", "/v1/switch", '{"preset":"peak"}'),
            ("PUT", "/v1/models", '{"models":{"m":{"bytes":-1}}}')):
        status, _, data = request(leader, method, path, body, token)
        assert status == 400, "%s %s: %s %s" % (method, path, status, data)
        assert json.loads(data)["error"]["type"] in (
            "bad_request", "bad_settings"), data
    try:
        status = request(leader, "PUT", "/v1/presets/x", "x" * (9 << 20),
                         token)[0]
    except ConnectionError:
        status = 413  # refused while the body was still being sent
    assert status == 413, status
    assert request(leader, "GET", "/v1/presets", None, token)[0] == 200


def daemon_refuses_bad_starts(s):
    daemon = os.path.join(s.build, "sapphireshiftd")

    def start(*args):
        p = subprocess.run([daemon, *args], stdout=subprocess.PIPE,
                           stderr=subprocess.PIPE, timeout=20)
        return p.returncode, (p.stdout + p.stderr).decode()

    bad = os.path.join(s.folder, "bad.json")
    with open(bad, "w") as f:
        f.write('{"role": "entry",\n"name": "x", "control": [],\n"oops": 1}')
    code, out = start("--check", bad)
    assert code == 2 and "bad.json:3: oops: unknown setting" in out, out
    code, out = start("--check", os.path.join(s.folder, "entry-1.json"))
    assert code == 0 and "ok" in out, out
    code, out = start(os.path.join(s.folder, "entry-1.json"))
    assert code == 3 and "listen" in out, "an address in use: %s" % out
    code, out = start("--bootstrap", os.path.join(s.folder, "ctl-1.json"))
    assert code == 3 and "in use" in out, out
    code, out = start("--check", os.path.join(s.folder, "missing.json"))
    assert code == 2, out
    for flag in ("--help", "--version"):
        assert start(flag)[0] == 0


TESTS = [typed_answers, broken_requests, pipelined_requests,
         cut_answers_are_closed, callers_gone_cancel_work,
         invalid_frames_are_refused, operators_bad_input,
         daemon_refuses_bad_starts]


def main():
    p = argparse.ArgumentParser()
    p.add_argument("--build", default="build")
    args = p.parse_args()
    s = System(os.path.join(args.build, "proc-input"), build=args.build,
               entries=1, controls=1, engines=1, receive_ms=1500)
    good = True
    try:
        s.start()
        assert chat(s.addr["entry-1"], "letter-writer", "warm")[0] == 200
        for fn in TESTS:
            try:
                fn(s)
                dead = [n for n, p in s.procs.items() if not p.alive()]
                assert not dead, "processes ended: %s" % dead
                print("ok %s" % fn.__name__, flush=True)
            except Exception as e:
                print("FAILED %s: %s: %s" % (fn.__name__,
                                             type(e).__name__, e), flush=True)
                good = False
    finally:
        s.kill()
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
