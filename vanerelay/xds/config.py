"""The `xds` block of the operators' file."""

from __future__ import annotations

from dataclasses import dataclass

from vanerelay.grpc_wire.limits import Limits
from vanerelay.operator_config import Block
from vanerelay.xds.assignment import ProxyShareConfig
from vanerelay.xds.proxy_count import ExpectedProxies

MAX_PORT = 65_535


@dataclass(frozen=True, slots=True)
class TlsConfig:
    """PEM files: our certificate and key, and who signs those of proxies (empty: none is demanded)."""

    certificate: str
    key: str
    proxies_ca: str = ""


@dataclass(frozen=True, slots=True)
class XdsConfig:
    """The control service's configuration.

    Attributes:
        listen: Host and port for proxies.
        node_patterns: Patterns of the node ids that may connect.
        listener_name: The name that gRPC clients resolve.
        bind: Host and port for proxies that listen themselves; empty for none.
        max_connections: Proxies connected at once.
    """

    listen: str
    node_patterns: tuple[str, ...]
    listener_name: str
    bind: str
    max_connections: int
    proxy_share: ProxyShareConfig
    expected: ExpectedProxies
    limits: Limits
    tls: TlsConfig | None


def read_config(block: Block) -> XdsConfig:
    """Reads the block.

    Raises OperatorConfigError with the line of what is wrong.
    """
    share, limits, tls = block.find_block("handed"), block.find_block("limits"), block.find_block("tls")
    config = XdsConfig(
        listen=_address(block, "listen", ""),
        node_patterns=tuple(block.attribute("nodes", list[str], ["*"])),
        listener_name=block.attribute("listener", str, "vanerelay"),
        bind=_address(block, "bind", "none"),
        max_connections=block.attribute("most", int, 1000),
        proxy_share=share.fill(ProxyShareConfig) if share else ProxyShareConfig(),
        expected=ExpectedProxies(block.attribute("proxies", int, 1)),
        limits=limits.fill(Limits) if limits else Limits(),
        tls=tls.fill(TlsConfig) if tls else None,
    )
    for read in (block, share, limits, tls):
        if read is not None:
            read.reject_unknown()
    return config


def _address(block: Block, name: str, default: str) -> str:
    text: str = block.attribute(name, str, default)
    host, _, port = text.rpartition(":")
    if text == "none":
        return ""
    if not host or not port.isdecimal() or not 0 <= int(port) <= MAX_PORT:
        raise block.error(f'{name}: {text!r}, expected host and port, such as "127.0.0.1:18000"', name)
    return text
