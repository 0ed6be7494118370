"""Run the simulator adapter on standard input and output."""

import sys

from pathturn.adapter.codec import serve

if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
