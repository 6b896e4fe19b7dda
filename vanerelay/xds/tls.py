"""TLS of the listener, from files in PEM."""

from __future__ import annotations

from typing import Any

from OpenSSL import SSL
from twisted.internet.ssl import (
    Certificate,
    CertificateOptions,
    PrivateCertificate,
    trustRootFromCertificates,
)

from vanerelay.xds.config import Tls


def options(tls: Tls) -> Any:
    """What a listener is opened with. Raises OSError, or SSL.Error for files that hold no certificate."""
    with open(tls.certificate, encoding="ascii") as one, open(tls.key, encoding="ascii") as other:
        own: Any = PrivateCertificate.loadPEM(  # type: ignore[no-untyped-call]
            (one.read() + other.read()).encode()
        )
    trusted = None
    if tls.proxies_ca:
        with open(tls.proxies_ca, encoding="ascii") as file:
            trusted = trustRootFromCertificates(  # type: ignore[no-untyped-call]
                [Certificate.loadPEM(file.read().encode())]
            )
    return CertificateOptions(
        privateKey=own.privateKey.original,
        certificate=own.original,
        trustRoot=trusted,
        acceptableProtocols=[b"h2"],
    )


__all__ = ["SSL", "options"]
