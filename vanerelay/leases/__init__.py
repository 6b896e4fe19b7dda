"""Leases: which gateway may do a task of the whole fleet, until when, and under which fencing token.

The protocol's two sides are `voter` and `claim`; `assignment` says which gateway should hold which task, and
`fencing` when a holder may act and what a receiver refuses. `service` drives a gateway's tasks through
`voter_client`, `voter_service` its own voter on a `durable_store`. `maintenance_schedule` and
`maintenance_runner` send commands to engines under a lease. docs/design/leases.md has the reasons.
"""
