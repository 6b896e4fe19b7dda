"""All parties of a run, and the links between them: gateways, engines, discovery, programs."""

from __future__ import annotations

import fnmatch
import shutil
import socket
from pathlib import Path
from typing import Any

from vanerelay.clock import Clock
from vanerelay.lab.client_load import CLIENTS
from vanerelay.lab.discovery_server import DiscoveryServer
from vanerelay.lab.engine_server import EngineServer
from vanerelay.lab.event_log import EventLog
from vanerelay.lab.fault_network import Network, free_address
from vanerelay.lab.gateway_process import GatewayHost, GatewayProcess
from vanerelay.lab.link_faults import Parties
from vanerelay.lab.process_files import ProcessFiles
from vanerelay.lab.program_process import ProgramProcess
from vanerelay.lab.replication_model import ReplicationModel
from vanerelay.lab.run_context import RunContext
from vanerelay.lab.scenario_config import GatewayGroup, Program, Release, ReplicaRole, Scenario

DISCOVERY = "feed"
"""The name of the discovery service as a party."""
LEASES_BLOCK = "leases {"
"""In operators' files with which parties write histories."""
ENGINE_SEED_FACTOR = 1000


class Deployment:
    """All parties of a run, and the links between them.

    Attributes:
        parties: all of them, with their zones.
        releases: of the scenario, by name.
    """

    def __init__(self, reactor: Any, scenario: Scenario, seed: int, folder: Path, host: GatewayHost) -> None:
        """`folder`: for configurations and logs of the processes."""
        self.scenario, self._seed, self._folder, self._host = scenario, seed, folder, host
        self.clock = Clock()
        self.network = Network(reactor, self.clock, seed)
        histories = folder / "history"
        shutil.rmtree(histories, ignore_errors=True)  # of a run before
        writes_histories = LEASES_BLOCK in scenario.gateways.operator_file
        replication = ReplicationModel(scenario.clients.table_count, incarnation_began=self.clock.now())
        self.context = RunContext(
            self.network,
            EventLog(),
            load_start=self.clock.now(),
            history_folder=str(histories) if writes_histories else "",
            replication=replication,
        )
        self.discovery = DiscoveryServer(self.context, scenario.discovery_delay)
        self.files = ProcessFiles(scenario, seed, folder, histories)
        self.parties = Parties()
        self.gateways = self.files.gateways
        self.engines = dict[str, EngineServer]()
        self.programs = dict[str, ProgramProcess]()
        self.releases = {release.name: release for release in scenario.releases}
        folder.mkdir(parents=True, exist_ok=True)
        self._build()

    def _build(self) -> None:
        """Each step draws loopback addresses, so that their order is part of what the seed decides."""
        group = self.scenario.gateways
        for position in range(group.count):
            self._add_gateway(f"m{position + 1}", group.zones[position % len(group.zones)])
        self.parties.zones |= {CLIENTS: "", DISCOVERY: ""}
        self._assign_releases()
        self._link_discovery()
        self._add_engines()
        if group.exchanges_datagrams:
            self._link_datagrams()
        for name in self.gateways:
            self._link_peers(name)
        for program in self.scenario.programs:
            self._add_program(program, group)

    def _add_gateway(self, name: str, zone: str) -> None:
        host, addresses = self.network.new_host(), self.files.addresses
        address = free_address(host)
        self.gateways[name] = GatewayProcess(
            self.context, name, zone, address, self._folder / name, self._host
        )
        addresses.fleet[name] = free_address(host)
        addresses.supervisors[name] = free_address(host)
        self.parties.zones[name] = zone

    def _assign_releases(self) -> None:
        for release in self.scenario.releases:
            for name, gateway in self.gateways.items():
                if fnmatch.fnmatch(name, release.gateways):
                    self.set_release(gateway, release)

    def set_release(self, gateway: GatewayProcess, release: Release) -> None:
        """A gateway is started from this release next."""
        gateway.release, gateway.tree = release.name, self.files.tree(release)

    def _link_discovery(self) -> None:
        for name in self.gateways:
            host = self.network.new_host()
            listener = self.network.listen(name, DISCOVERY, host, self.discovery.accept)
            self.files.addresses.discovery[name] = listener.address

    def _add_engines(self) -> None:
        for group in self.scenario.engine_groups:
            for row in range(group.count):
                zone = group.zones[row % len(group.zones)]
                self.add_engine(f"e{len(self.engines) + 1}", group.kind, zone)

    def add_engine(self, name: str, kind: str, zone: str, fresh: bool = False) -> EngineServer:
        """Adds an engine; it is on the endpoint list, but gateways are not notified yet."""
        group = self.scenario.engine_group(kind)
        seed = self._seed * ENGINE_SEED_FACTOR + len(self.engines)
        slow_start = self.scenario.slow_start
        engine = EngineServer(self.context, name, zone, group, slow_start, seed, self.discovery, fresh)
        self.engines[name] = engine
        self.discovery.entries[name] = engine.entry
        if group.replica_role:
            is_source = group.replica_role == ReplicaRole.SOURCE
            self.context.replication.add(name, is_source, group.replication_lag)
        self.parties.zones[name] = zone
        for gateway in self.gateways:
            listener = self.network.listen(gateway, name, self.network.new_host(), engine.accept)
            engine.listeners.append(listener)
            self.discovery.addresses[gateway, name] = listener.address
        return engine

    def _link_datagrams(self) -> None:
        addresses, names = self.files.addresses, list(self.gateways)
        for name in names:
            host = self.gateways[name].address.rpartition(":")[0]
            addresses.datagram_listens[name] = free_address(host, socket.SOCK_DGRAM)
        listens = list(addresses.datagram_listens.values())
        peers = self.network.proxy_datagrams(names, listens)
        addresses.datagram_peers = dict(zip(names, peers, strict=True))

    def _link_peers(self, name: str) -> None:
        """Links of a gateway to the others, where its operators' file can name them."""
        addresses = self.files.addresses
        hosts = {other: self.network.new_host() for other in self.gateways if other != name}
        addresses.links[name] = {}
        if "@" not in self.files.operator_template(name):
            return
        for other, host in hosts.items():
            proxy = self.network.proxy(name, other, host, addresses.fleet[other])
            addresses.links[name][other] = proxy.address

    def _add_program(self, program: Program, group: GatewayGroup) -> None:
        name, addresses = program.name, self.files.addresses
        log = self._folder / f"{name}.log"
        self.programs[name] = ProgramProcess(self.context, name, self._folder / name, log)
        self.parties.zones[name] = ""
        addresses.links[name] = self._proxies(name, addresses.fleet)
        if group.has_supervisor:
            addresses.supervisor_links[name] = self._proxies(name, addresses.supervisors)

    def _proxies(self, party: str, targets: dict[str, str]) -> dict[str, str]:
        """Links of a party to all gateways, at addresses of theirs."""
        return {
            gateway: self.network.proxy(party, gateway, self.network.new_host(), address).address
            for gateway, address in targets.items()
        }

    def start_program(self, program: Program, arguments: tuple[str, ...]) -> None:
        """Starts a program, after writing its files."""
        process = self.programs[program.name]
        self.files.write_program_files(process, program.files)
        process.start([self.files.fill_for_program(argument, process) for argument in arguments])

    def gateway_label(self, name: str) -> str:
        """The release that a gateway runs, as it says itself; else the one that it was started from."""
        return self.gateways[name].label or self.gateways[name].release

    @property
    def processes(self) -> list[GatewayProcess | ProgramProcess]:
        """All gateways and programs."""
        return [*self.gateways.values(), *self.programs.values()]

    def signal_all(self, number: int) -> None:
        """Signals all processes."""
        for process in self.processes:
            process.signal(number)


__all__ = ["CLIENTS", "DISCOVERY", "Deployment"]
