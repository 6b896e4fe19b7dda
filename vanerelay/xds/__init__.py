"""The control service: the gateway's decisions, handed to other proxies through xDS."""
