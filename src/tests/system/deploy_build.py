"""Builds by the line of deploy/system.toml in a clean copy, and compares its packages with what the build used.

Guards against a build that passes here and fails on a clean machine: a header or a library comes from a package that the
deploy file does not name, a tool of the developers' machines is needed (the compiler cache, git), or the time runs out.
With --built FOLDER nothing is built and the packages of that finished build are compared.
"""

import argparse
import os
import re
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "../../.."))
LIMIT_S = 15 * 60  # From the page on the deploy file.
ESSENTIAL = {"libc6", "libc6-dev", "linux-libc-dev", "libgcc-s1", "libstdc++6"}


def installed_packages():
    """Returns the packages that each installed package depends on; alternatives count as all of them."""
    text = subprocess.run(["dpkg-query", "-W", "-f", "${Package}\t${Pre-Depends}, ${Depends}\t${Provides}\n"],
                          check=True, capture_output=True, text=True).stdout
    needs, providers = {}, {}
    for line in text.splitlines():
        package, depends, provides = line.split("\t")
        names = re.findall(r"(?:^|[,|])\s*([a-z0-9][a-z0-9+.-]*)", depends)
        needs.setdefault(package, set()).update(names)
        for name in re.findall(r"(?:^|,)\s*([a-z0-9][a-z0-9+.-]*)", provides):
            providers.setdefault(name, set()).add(package)
    return needs, providers


def closure(names):
    """Returns what a machine has that holds these packages without recommended ones."""
    needs, providers = installed_packages()
    known, left = set(ESSENTIAL), list(names)
    while left:
        name = left.pop()
        if name in known:
            continue
        known.add(name)
        left += needs.get(name, set())
        if name not in needs:
            left += providers.get(name, set())
    return known


def used_files(folder):
    """Returns the headers that the compilers read and the libraries that the program loads."""
    deps = subprocess.run(["ninja", "-C", folder, "-t", "deps"], check=True, capture_output=True, text=True).stdout
    headers = {os.path.realpath(line.strip()) for line in deps.splitlines() if line.startswith("    /usr/")}
    loaded = subprocess.run(["ldd", os.path.join(folder, "bilberrybendd")], check=True, capture_output=True,
                            text=True).stdout
    libraries = {os.path.realpath(path) for path in re.findall(r"(/\S+)", loaded)}
    return headers, libraries


def owners(files):
    """Returns the files of each package; a file that belongs to none stands under an empty name."""
    found = {}
    files = sorted(files)
    for begin in range(0, len(files), 200):
        part = files[begin:begin + 200]
        out = subprocess.run(["dpkg-query", "-S"] + part, capture_output=True, text=True).stdout
        owner = {}
        for line in out.splitlines():
            package, path = line.split(": ", 1)
            owner[path] = package.split(",")[0].split(":")[0]
        for path in part:
            # Folders that are links on this system: the package may have the file under the other name.
            found.setdefault(owner.get(path, ""), []).append(path)
    unknown = found.pop("", [])
    for path in unknown:
        other = path.removeprefix("/usr") if path.startswith("/usr/lib") else "/usr" + path
        out = subprocess.run(["dpkg-query", "-S", other], capture_output=True, text=True).stdout
        found.setdefault(out.split(":")[0] if out else "", []).append(path)
    return found


def build(line):
    """Builds a copy of the committed tree. Returns its folder with what was built, and the seconds."""
    copy = tempfile.mkdtemp(prefix="deploy-build-")
    archive = subprocess.run(["git", "-C", ROOT, "archive", "HEAD"], check=True, capture_output=True).stdout
    subprocess.run(["tar", "-x", "-C", copy], input=archive, check=True)
    begin = time.monotonic()
    done = subprocess.run(["/bin/sh", "-c", line], cwd=copy, timeout=LIMIT_S, capture_output=True, text=True,
                          env={"PATH": "/usr/bin:/bin", "HOME": "/nonexistent", "LANG": "C.UTF-8",
                               "CCACHE_DISABLE": "1"})
    if done.returncode != 0:
        print(done.stdout[-2000:], done.stderr[-2000:], sep="\n")
        sys.exit("the build by the deploy file fails")
    return os.path.join(copy, "target"), time.monotonic() - begin


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--built")
    options = parser.parse_args()
    with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
        deploy = tomllib.load(file)
    folder = options.built
    if folder is None:
        folder, seconds = build(deploy["build"])
        print(f"built by the deploy file in {seconds:.0f} s of {LIMIT_S} s")
    headers, libraries = used_files(folder)
    if not headers or not libraries:
        sys.exit("no header or no library was found: the check is of no use")
    have = closure(deploy["packages"])
    missing = {package: files for package, files in owners(headers | libraries).items() if package not in have}
    for package, files in sorted(missing.items()):
        print(f"not among the packages of the deploy file: {package or 'of no package'}, {files[0]}")
    print(f"{len(headers)} headers, {len(libraries)} libraries, {len(missing)} packages missing")
    if options.built is None:
        subprocess.run(["rm", "-r", os.path.dirname(folder)], check=True)
    sys.exit(1 if missing else 0)


if __name__ == "__main__":
    main()
