"""Runs the command line as `python -m marjoramgrade`."""

from marjoramgrade.cli import main

if __name__ == "__main__":
    main()
