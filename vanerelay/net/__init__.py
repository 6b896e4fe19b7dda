"""The workload manager on sockets: machines fed bytes, thin drivers, the service joining them."""
