"""gRPC over HTTP/2: the wire alone, at either side, on h2 and Twisted."""
