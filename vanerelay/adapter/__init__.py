"""The simulator's wire on standard input and output, in front of the same decisions that serve on sockets."""
