"""Leases: which gateway may perform a fleet-wide task, until when, and under which fencing token.

`voter` and `claim` are the two sides of the protocol. `assignment` decides which gateway should hold which
task, and `fencing` when a holder may act and which operations a receiver refuses. `service` requests and
renews a gateway's leases through `voter_client`; `voter_service` runs the gateway's own voter on a
`durable_store`. `maintenance_schedule` and `maintenance_runner` send commands to engines under a lease.
docs/design/leases.md explains the design.
"""
