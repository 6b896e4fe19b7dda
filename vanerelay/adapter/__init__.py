"""An adapter that connects the policy to a simulator through standard input and output instead of sockets."""
