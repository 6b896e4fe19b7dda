"""gRPC over HTTP/2: machines fed bytes on the library h2, and a thin Twisted driver; server and client."""
