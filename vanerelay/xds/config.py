"""The `xds` block of the operators' file."""

from __future__ import annotations

from dataclasses import dataclass

from vanerelay.grpc_wire.limits import Limits
from vanerelay.operator_config import Block
from vanerelay.xds.assignment import Handed
from vanerelay.xds.proxy_count import Expected


@dataclass(frozen=True, slots=True)
class Tls:
    """Files in PEM: our certificate and key; who signs those of proxies (empty: none is asked for)."""

    certificate: str
    key: str
    proxies_ca: str = ""


@dataclass(frozen=True, slots=True)
class XdsConfig:
    """`listen`: host and port for proxies; `nodes`: patterns of the node ids that may connect; `listener`:
    the name that gRPC clients resolve; `bind`: where a proxy that listens itself is to do so; `most`:
    connections."""

    listen: str
    nodes: tuple[str, ...]
    listener: str
    bind: str
    most: int
    handed: Handed
    expected: Expected
    limits: Limits
    tls: Tls | None


def read_config(block: Block) -> XdsConfig:
    """Raises OperatorConfigError with the line of what is wrong."""
    handed, limits, tls = block.only("handed"), block.only("limits"), block.only("tls")
    found = XdsConfig(
        listen=_address(block, "listen", ""),
        nodes=tuple(block.take("nodes", list[str], ["*"])),
        listener=block.take("listener", str, "vanerelay"),
        bind=_address(block, "bind", "none"),
        most=block.take("most", int, 1000),
        handed=handed.fill(Handed) if handed else Handed(),
        expected=Expected(block.take("proxies", int, 1)),
        limits=limits.fill(Limits) if limits else Limits(),
        tls=tls.fill(Tls) if tls else None,
    )
    for one in (block, handed, limits, tls):
        if one is not None:
            one.done()
    return found


def _address(block: Block, name: str, default: str) -> str:
    text: str = block.take(name, str, default)
    host, _, port = text.rpartition(":")
    if text == "none":
        return ""
    if not host or not port.isdecimal() or not 0 <= int(port) < 65_536:
        raise block.wrong(f'{name}: {text!r}, expected host and port, such as "127.0.0.1:18000"', name)
    return text
