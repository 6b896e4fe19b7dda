"""One load reporting stream (LRS) of a proxy."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Protocol

from envoy.config.core.v3 import base_pb2
from envoy.config.endpoint.v3 import load_report_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from google.protobuf.message import DecodeError

from vanerelay.grpc_wire.call import Call
from vanerelay.grpc_wire.status import Code, Status
from vanerelay.xds.load_reports import LoadReport

REPORT_INTERVAL_S = 2
"""How often proxies report their load."""

METHOD = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats"
"""The path of the gRPC method."""


class LoadStreamOwner(Protocol):
    """What a load reporting stream needs of the control service."""

    def refusal(self, node: str) -> str | None:
        """Why a proxy may not connect; None where it may."""

    def zone_row(self, zone: str) -> int:
        """The row of a zone, -1 for none of ours."""

    def load_reported(self, stream: LoadStream, reports: list[LoadReport]) -> None:
        """The proxy has reported its load."""

    def load_stream_closed(self, stream: LoadStream) -> None:
        """The stream is over."""


class LoadStream:
    """One load reporting stream. It listens to its call.

    Attributes:
        zone: The row of the proxy's zone, -1 for none of ours.
    """

    def __init__(self, owner: LoadStreamOwner, call: Call) -> None:
        self._owner = owner
        self._call = call
        self._identified = False
        self.zone = -1

    def message_received(self, data: bytes) -> None:
        """A report came, or the first request, which names the proxy."""
        try:
            request = lrs_pb2.LoadStatsRequest.FromString(data)
        except DecodeError as error:
            self._call.finish(Status(Code.INVALID_ARGUMENT, str(error)))
            return
        if not self._identified and not self._identify(request.node):
            return
        reports = [report for report in _load_reports(request) if report.is_in_range()]
        if reports:
            self._owner.load_reported(self, reports)

    def _identify(self, node: base_pb2.Node) -> bool:
        """Asks a proxy that may connect for its reports; whether it may."""
        refusal = self._owner.refusal(node.id)
        if refusal is not None:
            self._call.finish(Status(Code.PERMISSION_DENIED, refusal))
            return False
        self._identified = True
        self.zone = self._owner.zone_row(node.locality.zone)
        response = lrs_pb2.LoadStatsResponse(send_all_clusters=True, report_endpoint_granularity=True)
        response.load_reporting_interval.FromSeconds(REPORT_INTERVAL_S)
        self._call.send(response.SerializeToString())
        return True

    def half_closed(self) -> None:
        """The proxy sends nothing more."""
        self._call.finish()
        self.ended(Status(Code.OK))

    def ended(self, status: Status) -> None:
        """The call is over."""
        self._owner.load_stream_closed(self)

    def send_queue_emptied(self) -> None:
        """Nothing waits for that here."""


def _load_reports(request: lrs_pb2.LoadStatsRequest) -> Iterator[LoadReport]:
    for cluster in request.cluster_stats:
        for locality in cluster.upstream_locality_stats:
            zone = locality.locality.zone
            if not locality.upstream_endpoint_stats:
                yield _load_report(cluster.cluster_name, zone, "", locality)
            for endpoint in locality.upstream_endpoint_stats:
                socket = endpoint.address.socket_address
                address = f"{socket.address}:{socket.port_value}"
                yield _load_report(cluster.cluster_name, zone, address, endpoint)


def _load_report(
    cluster: str,
    zone: str,
    address: str,
    stats: load_report_pb2.UpstreamLocalityStats | load_report_pb2.UpstreamEndpointStats,
) -> LoadReport:
    return LoadReport(
        cluster=cluster,
        zone=zone,
        address=address,
        running=stats.total_requests_in_progress,
        completed=stats.total_successful_requests + stats.total_error_requests,
        errors=stats.total_error_requests,
        issued=stats.total_issued_requests,
    )
