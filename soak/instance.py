"""Starts an entry instance with the settings file given as first argument."""

import os
import sys

from marjoramgrade.platform import daemon

if __name__ == "__main__":
    os.environ[daemon.SETTINGS_VARIABLE] = sys.argv[1]
    sys.exit(daemon.main())
