"""Runs an entry instance as `python -m marjoramgrade.platform`."""

import sys

from marjoramgrade.platform.daemon import main

if __name__ == "__main__":
    sys.exit(main())
