"""`python -m vanerelay` is the command line."""

from vanerelay.cli import main

if __name__ == "__main__":
    main(prog_name="vanerelay")
