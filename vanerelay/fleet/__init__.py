"""The fleet: gateways that know each other, their releases, failure detection and RPC between them."""
