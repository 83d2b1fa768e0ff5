#!/usr/bin/env python3
"""Prints a key and the name of each source file given, for the linter's cache.

    scripts/lint_keys.py BUILD FILE...

A key covers all that the linter's findings depend on: its version and rules, the
compile command, and the contents of the file and of all that it includes. The build
knows the includes; where it has not built a file since one of them changed, the
compiler is asked. Keys don't depend on where the workspace lies.
"""
import functools
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent


def read_commands(build):
    """Returns the words that compile each source file, without their output."""
    commands = {}
    for entry in json.loads((build / "compile_commands.json").read_text()):
        words = shlex.split(entry["command"])
        if words[0].endswith("ccache"):
            words = words[1:]
        cut = words.index("-o")
        object_file = build / words[cut + 1]
        words = words[:cut] + words[cut + 2:]
        commands[os.path.realpath(entry["file"])] = (words, object_file)
    return commands


def read_built_includes(build):
    """Returns what each object file was built from, by the build's own list."""
    listed = subprocess.run(["ninja", "-C", build, "-t", "deps"], check=True,
                            capture_output=True, text=True).stdout
    includes, current = {}, []
    for line in listed.splitlines():
        if line.startswith(" "):
            current.append(build / line.strip())
        elif line:
            name, _, state = line.partition(": ")
            current = []
            if state.endswith("(VALID)"):
                includes[build / name] = current
    return includes


@functools.cache
def modified_ns(file):
    return file.stat().st_mtime_ns


@functools.cache
def resolve(file):
    return pathlib.Path(os.path.realpath(file))


def is_current(object_file, includes):
    """Whether none of the files changed since the object file was built."""
    try:
        built_ns = modified_ns(object_file)
        return all(modified_ns(file) <= built_ns for file in includes)
    except FileNotFoundError:
        return False


def ask_compiler(build, words):
    rule = subprocess.run([*words, "-M", "-o", "-"], cwd=build, check=True,
                          capture_output=True, text=True).stdout
    names = shlex.split(rule.partition(": ")[2].replace("\\\n", " "))
    return [build / name for name in names]


def name_in_workspace(file):
    return os.path.relpath(file, ROOT) if file.is_relative_to(ROOT) else str(file)


class Keys:
    """Keys of source files; each file's contents are read once."""

    def __init__(self, build):
        self.build = build
        self.commands = read_commands(build)
        self.built_includes = read_built_includes(build)
        self.hashes = {}
        version = subprocess.run(["clang-tidy", "--version"], check=True,
                                 capture_output=True).stdout
        self.rules = version + (ROOT / ".clang-tidy").read_bytes()

    def hash_contents(self, file):
        if file not in self.hashes:
            self.hashes[file] = hashlib.sha256(file.read_bytes()).digest()
        return self.hashes[file]

    def list_includes(self, source):
        words, object_file = self.commands[source]
        includes = self.built_includes.get(object_file)
        if includes is None or not is_current(object_file, includes):
            includes = ask_compiler(self.build, words)
        return {resolve(file) for file in includes}

    def make(self, source):
        key = hashlib.sha256(self.rules)
        command = shlex.join(self.commands[source][0])
        key.update(command.replace(str(ROOT), ".").encode())
        for name, file in sorted((name_in_workspace(file), file)
                                 for file in self.list_includes(source)):
            key.update(name.encode())
            key.update(self.hash_contents(file))
        return key.hexdigest()


def main():
    keys, missing = Keys(pathlib.Path(sys.argv[1]).resolve()), False
    for name in sys.argv[2:]:
        source = os.path.realpath(name)
        if source in keys.commands:
            print(keys.make(source), name)
        else:
            print("%s: not part of the build, so not linted" % name, file=sys.stderr)
            missing = True
    return 1 if missing else 0


if __name__ == "__main__":
    sys.exit(main())
