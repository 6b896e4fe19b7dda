"""The fleet of gateways: membership, failure detection, RPC between gateways, and release identifiers."""
