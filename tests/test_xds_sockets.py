"""The control service started as operators start it, and proxies on grpcio that really send queries."""

from __future__ import annotations

import contextlib
import datetime
import json
import os
import queue
import random
import socket
import subprocess
import sys
import threading
import time
from concurrent import futures

import grpc
import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2, lrs_pb2_grpc
from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.settings import SettingCodes, Settings

from tests.helpers import ROOT, FakeDiscoveryService, FakeEngine, GatewayProcess, free_address, member, until
from vanerelay.xds import resources
from vanerelay.xds.subscription import ResourceType

DRAIN_BOUND_S = 2.0


class Site:
    """One gateway with a control service, its engines and proxies."""

    def __init__(self, folder):
        self.folder, self.closables, self.feed = folder, [], FakeDiscoveryService()
        self.listen = free_address()
        self.control_socket = folder / "console"
        self.more_options = ""

    def engine(self):
        """An engine that records when it was sent what."""
        one = FakeEngine(
            lambda engine, connection, ident: (
                engine.times.append((time.monotonic(), ident)),
                engine.return_result(connection, ident),
            )
        )
        one.times = []
        self.closables.append(one)
        return one

    def start(self, *rows):
        text = (
            f'membership {{\nconsole {{\nsocket = "{self.control_socket}"\n}}\n}}\n'
            f'xds {{\nlisten = "{self.listen}"\nnodes = ["p*"]\n{self.more_options}\n}}\n'
        )
        self.node = GatewayProcess(self.folder, self.feed, *rows, options=text)
        return self.node

    def proxy(self, name, **options):
        self.closables.append(Proxy(self.listen, name, **options))
        return self.closables[-1]

    def streams(self):
        shown = subprocess.run(
            [sys.executable, "-m", "vanerelay", "proxies", "--json", "--socket", str(self.control_socket)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
        )
        return {row["node"]: row for row in map(json.loads, shown.stdout.splitlines())}

    def close(self):
        for one in self.closables:
            one.close()
        if hasattr(self, "node"):
            self.node.process.kill()
            self.node.process.wait()
        self.feed.server.shutdown()
        self.feed.server.server_close()


class Proxy:
    """A proxy on grpcio: follows its endpoints and sends queries to them, one after the other."""

    def __init__(
        self, address, name, incremental=False, acks=True, sends=True, have=None, zone="here", rejects=()
    ):
        self.name, self.incremental, self.acks, self.zone, self.rejects = (
            name,
            incremental,
            acks,
            zone,
            set(rejects),
        )
        self.have = have or {}  # versions by type and name, from an earlier stream
        self.responses, self.endpoints, self.completed = [], {}, 0
        self.ended, self.end = None, threading.Event()
        self.requests = queue.Queue()
        self.channel = grpc.insecure_channel(address)
        stub = ads_pb2_grpc.AggregatedDiscoveryServiceStub(self.channel)
        method = stub.DeltaAggregatedResources if incremental else stub.StreamAggregatedResources
        for kind, names in (
            (ResourceType.CLUSTER, []),
            (ResourceType.ENDPOINTS, ["look", "load"]),
            (ResourceType.LISTENER, ["vanerelay"]),
            (ResourceType.ROUTES, ["vanerelay"]),
        ):
            self.requests.put(self.request(kind, names))
        self.stream = method(iter(self.requests.get, None))
        threading.Thread(target=self.follow, daemon=True).start()
        if sends:
            threading.Thread(target=self.send_queries, daemon=True).start()

    def request(self, kind, names=(), nonce="", version="", error=None):
        make = discovery_pb2.DeltaDiscoveryRequest if self.incremental else discovery_pb2.DiscoveryRequest
        found = make(type_url=kind.value, response_nonce=nonce)
        found.node.id, found.node.locality.zone = self.name, self.zone
        if error:
            found.error_detail.message = error
        if self.incremental:
            found.resource_names_subscribe.extend(names)
            if not nonce:
                found.initial_resource_versions.update(self.have.get(kind, {}))
        else:
            found.resource_names.extend(names)
            found.version_info = version or (
                resources.combined_version(self.have[kind]) if kind in self.have else ""
            )
        return found

    def follow(self):
        names = {
            ResourceType.ENDPOINTS: ["look", "load"],
            ResourceType.LISTENER: ["vanerelay"],
            ResourceType.ROUTES: ["vanerelay"],
        }
        try:
            for answer in self.stream:
                kind = ResourceType(answer.type_url)
                self.responses.append((kind, answer))
                for one in answer.resources:
                    packed = one.resource if self.incremental else one
                    if kind is ResourceType.ENDPOINTS:
                        from envoy.config.endpoint.v3 import endpoint_pb2

                        found = endpoint_pb2.ClusterLoadAssignment()
                        packed.Unpack(found)
                        self.endpoints[found.cluster_name] = found
                if not self.acks:
                    continue
                version = "" if self.incremental else answer.version_info
                error = "this proxy can't" if kind in self.rejects else None
                self.requests.put(
                    self.request(
                        kind, () if self.incremental else names.get(kind, ()), answer.nonce, version, error
                    )
                )
        except grpc.RpcError as error:
            self.ended = error.code()

    def healthy(self, cluster="look"):
        found = self.endpoints.get(cluster)
        return (
            []
            if found is None
            else [
                (e.endpoint.address.socket_address.port_value, e.load_balancing_weight.value)
                for place in found.endpoints
                for e in place.lb_endpoints
                if e.health_status == 1
            ]
        )

    def send_queries(self):
        lines, chance = {}, random.Random(self.name)
        while not self.end.wait(0.01):
            able = self.healthy()
            if not able:
                continue
            port = chance.choices([p for p, _ in able], [w for _, w in able])[0]
            with contextlib.suppress(OSError):
                if port not in lines:
                    lines[port] = socket.create_connection(("127.0.0.1", port), 5)
                    lines[port].settimeout(5)
                ident = f"{self.name}-{self.completed}".encode().hex()
                parts = [b"serve", ident.encode(), b"sort=look,patience=1000", b"SELECT 1"]
                lines[port].sendall(b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(p), p) for p in parts))
                lines[port].recv(4096)
                self.completed += 1

    def kinds(self):
        return [kind for kind, _ in self.responses]

    def close(self):
        self.end.set()
        self.requests.put(None)
        self.channel.close()


@pytest.fixture
def site(tmp_path):
    one = Site(tmp_path)
    yield one
    one.close()


def test_no_proxy_sends_new_queries_to_a_draining_engine(site):
    one, two = site.engine(), site.engine()
    site.start(member(one, "e-1"), member(two, "e-2"))
    proxies = [
        site.proxy("p-world"),
        site.proxy("p-delta", incremental=True),
        site.proxy("p-mute", acks=False),
    ]
    closed = ClosedWindowProxy(site.listen)
    until(lambda: all(p.completed > 20 for p in proxies), "work of all proxies")
    until(lambda: len(one.times) > 10 and len(two.times) > 10, "work at both engines")
    number = site.feed.publish(member(one, "e-1", "DRAINING"))
    site.feed.wait_for_poll(number)
    learned = time.monotonic()
    until(lambda: all(len(p.healthy()) == 1 for p in proxies), "the drain at all proxies")
    before = [p.completed for p in proxies]
    until(lambda: all(p.completed > n + 200 for p, n in zip(proxies, before, strict=True)), "further work")
    assert max(at for at, _ in one.times) - learned < DRAIN_BOUND_S and time.monotonic() - learned > 1.0
    rows = site.streams()
    assert rows["p-world"]["behind_s"] == rows["p-delta"]["behind_s"] == 0.0 < rows["p-mute"]["behind_s"]
    # For one whose window was closed all the while little is queued; then it gets the newest state alone.
    assert 0 < rows["p-closed"]["unsent"] < 100_000
    site.feed.publish(member(one, "e-1", "DELETED"))
    until(lambda: len(proxies[0].endpoints["look"].endpoints[0].lb_endpoints) == 1, "the engine gone")
    for answer in closed.open():
        last = answer
    assert b"e-1" not in last.SerializeToString() and str(one.port) not in str(last)


class ClosedWindowProxy:
    """A proxy that lets nothing through, by a window of 0 bytes, until it is opened."""

    def __init__(self, listen):
        host, _, port = listen.rpartition(":")
        self.socket = socket.create_connection((host, int(port)), 20)
        self.h2 = H2Connection(H2Configuration(client_side=True))
        self.h2.local_settings = Settings(client=True, initial_values={SettingCodes.INITIAL_WINDOW_SIZE: 0})
        self.h2.initiate_connection()
        path = "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources"
        self.h2.send_headers(
            1,
            [
                (":method", "POST"),
                (":scheme", "http"),
                (":path", path),
                (":authority", "x"),
                ("content-type", "application/grpc"),
                ("te", "trailers"),
            ],
        )
        request = discovery_pb2.DiscoveryRequest(
            type_url=ResourceType.ENDPOINTS.value, resource_names=["look"]
        )
        request.node.id, request.node.locality.zone = "p-closed", "here"
        data = request.SerializeToString()
        self.h2.send_data(1, b"\0" + len(data).to_bytes(4, "big") + data)
        self.socket.sendall(self.h2.data_to_send())

    def open(self):
        """All that comes once the window is open, until it is quiet."""
        self.h2.increment_flow_control_window(1_000_000, 1)
        self.socket.sendall(self.h2.data_to_send())
        self.socket.settimeout(1.5)
        body = b""
        with contextlib.suppress(TimeoutError):
            while data := self.socket.recv(65_536):
                for event in self.h2.receive_data(data):
                    body += getattr(event, "data", b"") or b""
                self.socket.sendall(self.h2.data_to_send())
        self.socket.close()
        found = []
        while body:
            size = int.from_bytes(body[1:5], "big")
            found.append(discovery_pb2.DiscoveryResponse.FromString(body[5 : 5 + size]))
            body = body[5 + size :]
        return found


def versions(proxy):
    """What a proxy holds, by type and name, as it would say on its next stream."""
    held = {}
    for kind, answer in proxy.responses:
        for one in answer.resources:
            held.setdefault(kind, {})[one.name] = one.version
    return held


@pytest.mark.parametrize("incremental", [False, True])
def test_a_restarted_gateway_sends_nothing_that_proxies_have(site, incremental):
    one, two = site.engine(), site.engine()
    site.start(member(one, "e-1"), member(two, "e-2"))
    first = site.proxy("p-1", incremental=True, sends=False)
    until(lambda: len(set(first.kinds())) == 4, "all four types")
    # make before break
    assert first.kinds()[:4] == [
        ResourceType.CLUSTER,
        ResourceType.ENDPOINTS,
        ResourceType.LISTENER,
        ResourceType.ROUTES,
    ]
    have = versions(first)
    site.node.process.kill()
    site.node.process.wait()
    site.node.start()
    until(site.node._ready, "readiness")
    have[ResourceType.ENDPOINTS] = {
        n: v for n, v in have[ResourceType.ENDPOINTS].items() if n in ("look", "load")
    }
    reconnected = [
        site.proxy(f"p-{n + 10}", incremental=incremental, sends=False, have=have) for n in range(1)
    ]
    until(lambda: "p-10" in site.streams(), "the proxy is back")
    until(lambda: all(site.streams()["p-10"]["behind_s"] == 0.0 for _ in range(3)), "nothing to send")
    assert not reconnected[0].responses
    number = site.feed.publish(member(one, "e-1", "DRAINING"))
    site.feed.wait_for_poll(number)
    until(lambda: len(reconnected[0].healthy()) == 1, "the drain")
    assert ResourceType.LISTENER not in reconnected[0].kinds()


def test_a_rejection_is_logged_once_and_is_no_loop(site):
    one, two = site.engine(), site.engine()
    site.start(member(one, "e-1"), member(two, "e-2"))
    bad, good = (
        site.proxy("p-bad", rejects=[ResourceType.CLUSTER], sends=False),
        site.proxy("p-good", sends=False),
    )
    until(lambda: len(set(good.kinds())) == 4 and len(set(bad.kinds())) == 4, "all types at both")
    until(lambda: site.streams()["p-bad"]["refused"], "the refusal")
    time.sleep(0.6)
    rows = site.streams()
    assert bad.kinds().count(ResourceType.CLUSTER) <= 2 and rows["p-bad"]["refused"] == {
        "cluster": "this proxy can't"
    }
    assert rows["p-bad"]["nacks"] <= 2 and not rows["p-good"]["refused"]
    lines = [line for line in site.node.log.read_text().splitlines() if "proxy rejected an update" in line]
    assert len(lines) == 1 and "this proxy can't" in lines[0]


def test_forbidden_nodes_and_malformed_requests(site):
    site.start(member(site.engine(), "e-1"))
    forbidden = site.proxy("forbidden", sends=False)
    until(lambda: forbidden.ended, "the refusal")
    assert forbidden.ended is grpc.StatusCode.PERMISSION_DENIED
    with grpc.insecure_channel(site.listen) as channel:

        def call(path, data):
            with pytest.raises(grpc.RpcError) as error:
                list(channel.stream_stream(path)(iter([data])))
            return error.value.code()

        ads = "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources"
        assert call("/no/method", b"") is grpc.StatusCode.UNIMPLEMENTED
        assert call(ads, b"\xff\xff") is grpc.StatusCode.INVALID_ARGUMENT
        assert call(ads, discovery_pb2.DiscoveryRequest(type_url="x").SerializeToString()) is (
            grpc.StatusCode.INVALID_ARGUMENT
        )
        listeners = "/envoy.service.listener.v3.ListenerDiscoveryService/StreamListeners"
        wrong = discovery_pb2.DiscoveryRequest(type_url=ResourceType.CLUSTER.value).SerializeToString()
        assert call(listeners, wrong) is grpc.StatusCode.INVALID_ARGUMENT
    host, _, port = site.listen.rpartition(":")
    for junk in (b"GET / HTTP/1.1\r\n\r\n", os.urandom(300), b""):
        with socket.create_connection((host, int(port))) as other:
            other.sendall(junk)
            if junk:
                other.settimeout(20)
                with contextlib.suppress(ConnectionError):
                    while other.recv(4096):
                        pass  # it is ended by the other side
    fine = site.proxy("p-1", sends=False)
    until(lambda: fine.healthy(), "a proxy that keeps to the protocol")
    assert site.node.client() and site.node.log.read_text().count("gRPC peer violated the protocol") == 1


def test_load_reports_are_requested_and_read(site):
    one = site.engine()
    site.start(member(one, "e-1"))
    proxy = site.proxy("p-1", sends=False)
    until(lambda: proxy.healthy(), "endpoints")
    requests = queue.Queue()
    hello = lrs_pb2.LoadStatsRequest()
    hello.node.id, hello.node.locality.zone = "p-1", "here"
    requests.put(hello)
    answers = lrs_pb2_grpc.LoadReportingServiceStub(proxy.channel).StreamLoadStats(iter(requests.get, None))
    asked = next(answers)
    assert (
        asked.send_all_clusters
        and asked.report_endpoint_granularity
        and asked.load_reporting_interval.seconds == 2
    )
    report = lrs_pb2.LoadStatsRequest()
    report.node.id = "p-1"
    stats = report.cluster_stats.add(cluster_name="look")
    place = stats.upstream_locality_stats.add(total_issued_requests=50, total_error_requests=40)
    place.locality.zone = "here"
    there = place.upstream_endpoint_stats.add(
        total_error_requests=40, total_issued_requests=40, total_requests_in_progress=3
    )
    there.address.socket_address.address, there.address.socket_address.port_value = "127.0.0.1", one.port
    for _ in range(4):
        requests.put(report)
    # The only engine fails all that the proxy sends: with one there is nothing to compare, and it stays in
    # use.
    time.sleep(0.5)
    log = site.node.log.read_text()
    assert proxy.healthy() and "fault" not in log and "Traceback" not in log
    requests.put(None)


def make_certificate(name, signer=None):
    """Key and subject for signing others; key and certificate in PEM. Self-signed without a signer."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    now = datetime.datetime.now(datetime.UTC)
    signing_key, issuer = signer or (key, subject)
    builder = x509.CertificateBuilder(
        issuer, subject, key.public_key(), x509.random_serial_number(), now, now + datetime.timedelta(days=1)
    )
    builder = builder.add_extension(x509.SubjectAlternativeName([x509.DNSName(name)]), False)
    builder = builder.add_extension(x509.BasicConstraints(signer is None, None), True)
    certificate = builder.sign(signing_key, hashes.SHA256())
    return (
        (key, subject),
        key.private_bytes(
            serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
        ),
        certificate.public_bytes(serialization.Encoding.PEM),
    )


def test_tls_from_files_and_proxies_that_must_present_a_certificate(site):
    signer, _, root = make_certificate("root")
    _, key, certificate = make_certificate("control", signer)
    _, proxy_key, proxy_certificate = make_certificate("proxy", signer)
    for name, data in (("key", key), ("certificate", certificate), ("root", root)):
        (site.folder / name).write_bytes(data)
    site.more_options = (
        f'tls {{\ncertificate = "{site.folder}/certificate"\nkey = "{site.folder}/key"\n'
        f'proxies_ca = "{site.folder}/root"\n}}'
    )
    site.start(member(site.engine(), "e-1"))
    request = discovery_pb2.DiscoveryRequest(type_url=ResourceType.CLUSTER.value)
    request.node.id = "p-1"

    def first_response(*own):
        credentials = grpc.ssl_channel_credentials(root, *own)
        options = [("grpc.ssl_target_name_override", "control")]
        with grpc.secure_channel(site.listen, credentials, options) as channel:
            stub = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel)
            requests = queue.Queue()
            requests.put(request)
            found = next(stub.StreamAggregatedResources(iter(requests.get, None), timeout=20))
            requests.put(None)
            return found

    assert first_response(proxy_key, proxy_certificate).resources
    with pytest.raises(grpc.RpcError):
        first_response()


CHILD = """
import collections, json, sys, time
import grpc
count = collections.Counter()
with grpc.insecure_channel("xds:///vanerelay") as channel:
    call = channel.unary_unary("/engine/Serve")
    for line in sys.stdin:
        names = [call(b"", metadata=[("service", "look")], timeout=20, wait_for_ready=True).decode()
                 for _ in range(int(line))]
        print(json.dumps(collections.Counter(names)), flush=True)
"""


def grpc_engine(name):
    server = grpc.server(futures.ThreadPoolExecutor(4))
    handler = grpc.unary_unary_rpc_method_handler(lambda request, context: name.encode())
    server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler("engine", {"Serve": handler}),))
    server.port = server.add_insecure_port("127.0.0.1:0")
    server.start()
    return server


def write_bootstrap(site):
    """The file that tells grpcio's resolver where the control service is."""
    server = {
        "server_uri": site.listen,
        "channel_creds": [{"type": "insecure"}],
        "server_features": ["xds_v3"],
    }
    node = {"id": "p-grpc", "locality": {"zone": "another"}}
    bootstrap = site.folder / "bootstrap.json"
    bootstrap.write_text(json.dumps({"xds_servers": [server], "node": node}))
    return bootstrap


def test_grpcio_s_own_resolver_spreads_calls_by_our_weights_and_leaves_a_draining_engine(site):
    """Calls from a zone without engines go 3 to 1 where three of four engines' cores are."""
    names = ["a", "b", "c", "d"]
    engines = [grpc_engine(name) for name in names]
    rows = [
        {**member(engine.port, f"e-{name}"), "locality": "here" if name != "d" else "nowhere we know"}
        for name, engine in zip(names, engines, strict=True)
    ]
    bootstrap = write_bootstrap(site)
    site.start(*rows)
    child = subprocess.Popen(
        [sys.executable, "-c", CHILD],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
        env={**os.environ, "GRPC_XDS_BOOTSTRAP": str(bootstrap)},
    )
    try:

        def spread(count):
            child.stdin.write(f"{count}\n")
            child.stdin.flush()
            return json.loads(child.stdout.readline())

        found = spread(400)
        # Binomial, 400 of 3/4: 300 with a deviation of 8.7; the bound is ten of these.
        assert 213 <= sum(found.get(name, 0) for name in "abc") <= 387, found
        assert set(found) == set(names)
        number = site.feed.publish({**rows[0], "phase": "DRAINING"})
        site.feed.wait_for_poll(number)
        until(lambda: "a" not in spread(40), "the drained engine is left")
        assert "a" not in spread(200)
    finally:
        child.kill()
        child.wait()
        for engine in engines:
            engine.stop(None)
