"""The gateway process: protocol state machines, their sockets, and the service that connects them."""
