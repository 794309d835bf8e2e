"""Runs the command line, or an entry instance for `run --settings FILE`."""

import pathlib
import sys

from marjoramgrade import entry

if __name__ == "__main__":
    entry.run_file(pathlib.Path(sys.argv[3]))
