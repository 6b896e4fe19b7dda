"""The files that processes of a run are started with: configurations, files of operators and supervisors."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from vanerelay.lab.child_process import PACKAGE_TREE
from vanerelay.lab.fault_network import PeerAddresses
from vanerelay.lab.gateway_process import GatewayProcess
from vanerelay.lab.gateway_settings import make_settings
from vanerelay.lab.program_process import ProgramProcess
from vanerelay.lab.scenario_config import ProcessFile, Release, Scenario, SettingValues

SEED_FACTOR = 7919
"""Between the run's seed and those of its gateways."""
SUPERVISOR_PATIENCE = 'patience {\n  ready = "15s"\n  probation = "40s"\n}\n'


@dataclass(slots=True)
class Addresses:
    """Who reaches whom by what address.

    Attributes:
        fleet, supervisors: where gateways listen for their peers, and their supervisors for controllers.
        links, supervisor_links: by which a party reaches gateways and their supervisors, by name.
        discovery: by which gateways reach the discovery service.
        datagram_listens, datagram_peers: of gateways that exchange datagrams.
    """

    fleet: dict[str, str] = field(default_factory=dict)
    supervisors: dict[str, str] = field(default_factory=dict)
    links: dict[str, dict[str, str]] = field(default_factory=dict)
    supervisor_links: dict[str, dict[str, str]] = field(default_factory=dict)
    discovery: dict[str, str] = field(default_factory=dict)
    datagram_listens: dict[str, str] = field(default_factory=dict)
    datagram_peers: dict[str, PeerAddresses] = field(default_factory=dict)


class ProcessFiles:
    """Makes the files of a run's processes.

    Attributes:
        start_lists: by gateway: the endpoint list of its start.
        overrides: by gateway: settings that faults have changed.
        foundings: the begin of the run, and each fault after which the files of the beginning are new.
    """

    def __init__(self, scenario: Scenario, seed: int, folder: Path, history_folder: Path) -> None:
        self._scenario, self._seed, self._folder = scenario, seed, folder
        self._history_folder = history_folder
        self.addresses = Addresses()
        self.gateways = dict[str, GatewayProcess]()
        self.start_lists = dict[str, Any]()
        self.overrides = dict[str, SettingValues]()
        self.foundings = [""]
        self._releases = {release.name: release for release in scenario.releases}

    def configuration(self, name: str, release: Release | None = None) -> dict[str, Any]:
        """The configuration of a gateway; of a release other than its own where that is given."""
        group, gateway = self._scenario.gateways, self.gateways[name]
        position = list(self.gateways).index(name)
        release = release or self._releases.get(gateway.release)
        release_settings = release.settings if release is not None else ()
        overrides = (*release_settings, *self.overrides.get(name, ()))
        configuration = {
            "name": name,
            "listen": gateway.address,
            "seed": f"{self._seed * SEED_FACTOR + position:016x}",
            "limits": {"cores": 1.0, "memory_mb": group.memory_mb, "sockets": group.max_sockets},
            "feed": self.addresses.discovery[name],
            "known": self.start_lists[name],
            "settings": make_settings(self._scenario, position, overrides),
        }
        if name in self.addresses.datagram_peers:
            known = self.addresses.datagram_peers[name]
            configuration["peer_listen"] = self.addresses.datagram_listens[name]
            configuration |= {"peers": known.peers, "peers_all": known.everyone}
        return configuration

    def operator_template(self, name: str) -> str:
        """The operators' file of a gateway as the scenario has it."""
        release = self._releases.get(self.gateways[name].release)
        if release is not None and release.operator_file:
            return release.operator_file
        return self._scenario.gateways.operator_file

    def operator_file(self, name: str) -> str:
        """The operators' file of a gateway."""
        gateway = self.gateways[name]
        return self._fill(self.operator_template(name), name, gateway.zone, gateway.folder, gateway.tree)

    def supervisor_file(self, name: str) -> str:
        """The file of a gateway's supervisor, which knows all releases; empty where it has none."""
        if not self._scenario.gateways.has_supervisor:
            return ""
        gateway = self.gateways[name]
        blocks = [self._release_block(gateway, release) for release in self._scenario.releases]
        return (
            f'name = "{name}"\nlisten = "{self.addresses.supervisors[name]}"\nserve = "{gateway.address}"\n'
            f'first = "{gateway.release}"\nfolder = "{gateway.folder}"\n'
            + SUPERVISOR_PATIENCE
            + "".join(blocks)
        )

    def _release_block(self, gateway: GatewayProcess, release: Release) -> str:
        """A release in the file of a supervisor, after writing the files that the block names."""
        tree = self.tree(release)
        base = gateway.folder.with_suffix(f".{release.name}")
        configuration_path = base.with_suffix(base.suffix + ".json")
        configuration_path.write_text(json.dumps(self.configuration(gateway.name, release)))
        template = release.operator_file or self._scenario.gateways.operator_file
        options_line = ""
        if template:
            options_path = base.with_suffix(base.suffix + ".hcl")
            options_path.write_text(self._fill(template, gateway.name, gateway.zone, gateway.folder, tree))
            options_line = f'  options = "{options_path}"\n'
        return (
            f'release "{release.name}" {{\n  tree = "{tree}"\n'
            f'  config = "{configuration_path}"\n{options_line}}}\n'
        )

    def tree(self, release: Release) -> Path:
        """The folder that a release is started in: this program's, another's, or one with a shim."""
        tree = Path(release.tree).resolve() if release.tree else PACKAGE_TREE
        if not release.shim:
            return tree
        folder = self._folder / "releases" / release.name
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "sitecustomize.py").write_text(
            f"import sys\nsys.path.insert(1, {str(tree)!r})\n{release.shim}\n"
        )
        return folder

    def write_first_files(self, name: str) -> None:
        """Writes a gateway's files of the beginning, as operators do."""
        gateway = self.gateways[name]
        for file in self._scenario.gateways.files:
            path = gateway.folder / file.name
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(self._fill(file.text, name, gateway.zone, gateway.folder, gateway.tree))

    def write_program_files(self, program: ProgramProcess, files: Sequence[ProcessFile]) -> None:
        """Writes the files that a program reads."""
        for file in files:
            if file.settings is not None:
                text = json.dumps(make_settings(self._scenario, 0, file.settings))
            else:
                text = self.fill_for_program(file.text, program)
            (program.folder / file.name).write_text(text)

    def fill_for_program(self, text: str, program: ProgramProcess) -> str:
        """A text or an argument of a program with its @WORDS@ filled in."""
        return self._fill(text, program.name, "", program.folder, PACKAGE_TREE)

    def _fill(self, text: str, party: str, zone: str, folder: Path, tree: Path) -> str:
        words = {
            "NAME": party,
            "PLACE": zone,
            "FOLDER": str(folder),
            "LISTEN": self.addresses.fleet.get(party, ""),
            "FIRST": next(iter(self.addresses.fleet.values())),
            "MEMBERS": self._member_blocks(party),
            "TREE": str(tree),
            "HISTORY": str(self._history_folder / f"{party}.jsonl"),
            "FOUNDED": str(len(self.foundings)),
        }
        for word, value in words.items():
            text = text.replace(f"@{word}@", value)
        return text

    def _member_blocks(self, party: str) -> str:
        """All gateways that a party reaches, as blocks of operators' files and plans."""
        supervisor_links = self.addresses.supervisor_links.get(party, {})
        blocks = list[str]()
        for name, address in self.addresses.links[party].items():
            lines = [f'  address = "{address}"\n', f'  domain = "{self.gateways[name].zone}"\n']
            if supervisor_links:
                lines.append(f'  keeper = "{supervisor_links[name]}"\n')
            blocks.append(f'member "{name}" {{\n' + "".join(lines) + "}\n")
        return "".join(blocks)


__all__ = ["Addresses", "ProcessFiles"]
