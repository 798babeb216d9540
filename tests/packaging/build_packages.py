#!/usr/bin/env python3
"""Checks that the platform's build uses only listed system packages.

  tests/packaging/build_packages.py            runs the check; exits with 0, 1 (findings) or 2 (not run)
  tests/packaging/build_packages.py --files    also prints each file and its package

Runs `build` of deploy/system.toml in a fresh copy of the tracked files without
tests, examples and benchmarks, as an unprivileged user, and records the system
calls that open, look up or execute files or connect sockets. Each system file
that was found must belong to a package that `packages` lists, or to a dependency
that apt would install with them on an empty machine, without recommended
packages. Other packages installed on this machine therefore can't hide a missing
entry.
"""
import argparse
import collections
import dataclasses
import glob
import os
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
DEPLOY_FILE = "deploy/system.toml"
# Parts of the repository on which the build must not depend.
LEFT_OUT = ("tests/", "examples/", "benchmarks/")
UNPRIVILEGED = "nobody"
# The environment of a machine without further settings.
ENVIRONMENT = {"PATH": "/usr/sbin:/usr/bin:/sbin:/bin", "LANG": "C"}
CALLS = "open,openat,execve,stat,lstat,newfstatat,statx,access,faccessat,faccessat2,readlink,readlinkat,connect"

# Folders that the linker and the C library read completely, whatever they contain.
# The build needs none of their files.
SCANNED = ("/etc/ld.so.conf.d/", "/usr/lib/bfd-plugins/", "/usr/share/locale/", "/usr/lib/locale/")
# Files created on the machine instead of installed by a package.
GENERATED = ("/etc/ld.so.cache", "/etc/passwd", "/etc/group")
# File systems without installed files.
VOLATILE = ("/proc/", "/sys/", "/dev/", "/run/")
MERGED = ("/bin/", "/sbin/", "/lib/", "/lib32/", "/lib64/", "/libx32/")

CALL = re.compile(r"^(\w+)\((?:(?:AT_FDCWD|\d+)<((?:[^>\\]|\\.)*)>, )?\"((?:[^\"\\]|\\.)*)\"")
INET = re.compile(r"^connect\(.*sa_family=AF_INET")


class NotRun(Exception):
    """The check could not be carried out."""


@dataclasses.dataclass
class Trace:
    """System files that the build found, and its network connections."""

    built: bool = True
    files: set = dataclasses.field(default_factory=set)
    connections: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Verdict:
    """Files by package, files of unlisted packages and files of no package."""

    used: dict
    unlisted: dict
    unowned: list


def merge_usr(path):
    """Returns the path below /usr of a file whose path starts with a merged folder.

    /bin, /lib and the like are links into /usr.
    """
    return "/usr" + path if path.startswith(MERGED) else path


def links_of(path):
    """Returns the path, each symbolic link on the way and the final file."""
    found = []
    for _ in range(16):
        path = os.path.join(os.path.realpath(os.path.dirname(path)), os.path.basename(path))
        found.append(path)
        if not os.path.islink(path):
            break
        path = os.path.join(os.path.dirname(path), os.readlink(path))
    return found


def parse_trace(lines, start, scratch):
    """Parses strace's output for a process that starts in the folder start.

    Paths below scratch are left out.
    """
    trace = Trace()
    for line in lines:
        if INET.match(line):
            trace.connections.append(line.strip())
        match = CALL.match(line)
        if not match:
            continue
        folder, path = match[2] or start, match[3]
        if not folder.startswith("/"):
            continue  # A pipe or a socket.
        path = os.path.normpath(os.path.join(folder, path))
        if path.startswith((scratch + "/", *VOLATILE)) or path in GENERATED:
            continue
        trace.files.add(path)
    return trace


def owners(info_folder="/var/lib/dpkg/info"):
    """Returns the packages that installed a file, by path of the file."""
    found = collections.defaultdict(set)
    for name in glob.glob(os.path.join(info_folder, "*.list")):
        package = os.path.basename(name)[: -len(".list")].split(":")[0]
        with open(name, encoding="utf-8") as lines:
            for line in lines:
                found[merge_usr(line.rstrip("\n"))].add(package)
    return found


def judge(files, owned_by, allowed, ignored, links=links_of, is_folder=os.path.isdir):
    """Sorts files by package.

    A file that belongs to several packages needs only one of them to be allowed.
    """
    used, unlisted, unowned = collections.defaultdict(set), collections.defaultdict(set), []
    for path in sorted(files):
        chain = links(path)
        if is_folder(chain[-1]) or any(it.startswith(SCANNED) or it in ignored for it in chain):
            continue
        if merge_usr(chain[-1]) not in owned_by:
            unowned.append(chain[-1])
        for it in chain:
            packages = owned_by.get(merge_usr(it), set())
            for package in packages:
                used[package].add(it)
            if packages and not packages & allowed:
                unlisted[", ".join(sorted(packages))].add(it)
    return Verdict(used, unlisted, sorted(set(unowned)))


def run(command, **options):
    return subprocess.run(command, check=False, capture_output=True, text=True, **options)


def closure(packages):
    """Returns the packages that apt would install with these on an empty machine."""
    command = ["apt-get", "-s", "-qq", "--no-install-recommends", "-o", "Dir::State::status=/dev/null", "install"]
    result = run(command + packages)
    if result.returncode and os.geteuid() == 0:
        run(["apt-get", "update", "-qq"])
        result = run(command + packages)
    if result.returncode:
        raise NotRun(f"apt can't plan the installation of `packages`: {result.stderr.strip()}")
    return {line.split()[1] for line in result.stdout.splitlines() if line.startswith("Inst ")}


def base_system():
    """Returns the packages that every Debian machine has."""
    result = run(["dpkg-query", "-W", "-f", "${Package} ${Essential} ${Priority}\n"])
    rows = [line.split() for line in result.stdout.splitlines()]
    return {row[0] for row in rows if row[1:2] == ["yes"] or row[-1] == "required"}


def linker_plugins():
    """Returns the files of the linker's installed plug-ins and of their libraries."""
    found = set()
    for plugin in glob.glob("/usr/lib/bfd-plugins/*"):
        found.update(links_of(plugin))
        for path in re.findall(r"=> (/\S+)", run(["ldd", plugin]).stdout):
            found.update(links_of(path))
    return found


def copy_sources(target):
    names = run(["git", "-C", str(ROOT), "ls-files", "-z"]).stdout.split("\0")
    for name in names:
        if not name or name.startswith(LEFT_OUT) or not (ROOT / name).is_file():
            continue
        (target / name).parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(ROOT / name, target / name)


def traced_build(build, scratch):
    """Runs the build in a fresh copy of the sources; returns its trace."""
    source = scratch / "source"
    traces = scratch / "traces"
    home = scratch / "home"
    for it in (source, traces, home):
        it.mkdir()
    copy_sources(source)
    command = ["strace", "-ff", "-y", "-qq", "-z", "-s", "4096", "-e", "signal=none", "-e", f"trace={CALLS}"]
    command += ["--seccomp-bpf", "-o", str(traces / "trace"), "/bin/sh", "-c", build]
    if os.geteuid() == 0:
        for folder, _, files in os.walk(scratch):
            for it in [folder, *(os.path.join(folder, name) for name in files)]:
                shutil.chown(it, UNPRIVILEGED)
        command = ["setpriv", f"--reuid={UNPRIVILEGED}", "--regid=nogroup", "--clear-groups", *command]
    try:
        result = run(command, cwd=source, env={**ENVIRONMENT, "HOME": str(home), "TMPDIR": str(home)})
    except FileNotFoundError as error:
        raise NotRun(str(error)) from error
    if result.returncode:
        print(result.stdout[-3000:] + result.stderr[-3000:])
        print(f"the build failed with {result.returncode}")
    found = Trace(built=result.returncode == 0)
    for name in traces.iterdir():
        with open(name, encoding="utf-8", errors="replace") as lines:
            part = parse_trace(lines, str(source), str(scratch))
        found.files |= part.files
        found.connections += part.connections
    if not found.files:
        raise NotRun("the build was not recorded")
    return found


def report(verdict, listed, every_file):
    for package in sorted(verdict.used):
        files = sorted(verdict.used[package])
        how = "listed" if package in listed else "unlisted" if package in verdict.unlisted else "dependency"
        print(f"{package:30} {how:10} {len(files):4} files, such as {files[0]}")
        if every_file:
            print("".join(f"    {it}\n" for it in files), end="")


def check(every_file):
    with open(ROOT / DEPLOY_FILE, "rb") as text:
        deploy = tomllib.load(text)
    listed = set(deploy["packages"])
    allowed = closure(sorted(listed)) | base_system()
    with tempfile.TemporaryDirectory() as name:
        scratch = pathlib.Path(name).resolve()
        scratch.chmod(0o755)
        trace = traced_build(deploy["build"], scratch)
    verdict = judge(trace.files, owners(), allowed, linker_plugins())
    report(verdict, listed, every_file)
    for package, files in sorted(verdict.unlisted.items()):
        print(f"{DEPLOY_FILE} doesn't list {package}, of which the build uses {', '.join(sorted(files)[:3])}")
    for path in verdict.unowned:
        print(f"the build uses {path}, which belongs to no package")
    for line in trace.connections:
        print(f"the build connects to a network: {line}")
    return trace.built and not (verdict.unlisted or verdict.unowned or trace.connections)


def main():
    arguments = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    arguments.add_argument("--files", action="store_true", help="print each file that the build uses")
    options = arguments.parse_args()
    try:
        passed = check(options.files)
    except NotRun as error:
        print(f"build packages: not checked: {error}")
        return 2
    print("build packages: " + ("all listed" if passed else "failed"))
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
