"""A stream whose events are numbered from 0 is resumed after its first event."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-3"))
import order_case

sys.exit(order_case.run(FOLDER, first=0, pause_after=0, comment=False))
