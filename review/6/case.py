"""BUDGET: a part of a prompt crashes runners, behind 36 other parts."""
import functools
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import parts  # noqa: E402
import rig as kit  # noqa: E402

# Shared parts of each prompt, and the place of the one that crashes runners. The
# pages set no limit for their number; the header field takes about 500 bytes.
# PLACE=5 plays the same with the part among the first ones.
SHARED_PARTS = 40
BAD_PLACE = int(os.environ.get("PLACE", "36"))


if __name__ == "__main__":
    kit.main(HERE, functools.partial(parts.play, shared_parts=SHARED_PARTS, bad_place=BAD_PLACE,
                                     crash_after=0))
