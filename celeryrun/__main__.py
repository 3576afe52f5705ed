"""Run the command line with ``python -m celeryrun``."""

from celeryrun.cli import main

if __name__ == "__main__":
    main()
