"""Prints the compile command of one source file, without its output file."""
import json
import os
import shlex
import sys

database, source = sys.argv[1], os.path.realpath(sys.argv[2])
for entry in json.load(open(database, encoding="utf-8")):
    if os.path.realpath(entry["file"]) != source:
        continue
    words = shlex.split(entry["command"])
    if words[0].endswith("ccache"):
        words = words[1:]
    cut = words.index("-o")
    words = words[:cut] + words[cut + 2:]
    print(shlex.join([word for word in words if word != "-c"]))
    sys.exit(0)
sys.exit(1)
