"""TLS of the proxies' listener, from PEM files."""

from __future__ import annotations

from typing import Any

from twisted.internet.ssl import (
    Certificate,
    CertificateOptions,
    PrivateCertificate,
    trustRootFromCertificates,
)

from vanerelay.xds.config import TlsConfig


def tls_options(config: TlsConfig) -> CertificateOptions:
    """The context factory that the listener is opened with.

    Raises:
        OSError: A file cannot be read.
        OpenSSL.SSL.Error: A file holds no certificate or no key.
    """
    with (
        open(config.certificate, encoding="ascii") as certificate_file,
        open(config.key, encoding="ascii") as key_file,
    ):
        pem = (certificate_file.read() + key_file.read()).encode()
    # Twisted's stubs leave the certificate's attributes untyped.
    certificate: Any = PrivateCertificate.loadPEM(pem)  # type: ignore[no-untyped-call]
    trusted = None
    if config.proxies_ca:
        with open(config.proxies_ca, encoding="ascii") as ca_file:
            trusted = trustRootFromCertificates(  # type: ignore[no-untyped-call]
                [Certificate.loadPEM(ca_file.read().encode())]
            )
    return CertificateOptions(
        privateKey=certificate.privateKey.original,
        certificate=certificate.original,
        trustRoot=trusted,
        acceptableProtocols=[b"h2"],
    )
