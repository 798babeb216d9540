#!/usr/bin/env python3
"""Tests how build_packages.py parses traces and checks files."""
import pathlib
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import build_packages

START = "/tmp/scratch/source"
SCRATCH = "/tmp/scratch"


class ParseTrace(unittest.TestCase):
    CASES = [
        ("an open", 'openat(AT_FDCWD</x>, "/usr/include/a.h", O_RDONLY) = 3</usr/include/a.h>', {"/usr/include/a.h"}),
        ("a look-up without a folder", 'access("/usr/lib/b.so", F_OK) = 0', {"/usr/lib/b.so"}),
        ("an executed program", 'execve("/usr/bin/c", ["c"], 0x5 /* 3 vars */) = 0', {"/usr/bin/c"}),
        ("a relative path", 'openat(AT_FDCWD</usr/lib/gcc>, "../d.o", O_RDONLY) = 3', {"/usr/lib/d.o"}),
        ("a path below an open folder", 'newfstatat(7</usr/share>, "e.cmake", {st_mode=S_IFREG}, 0) = 0', {"/usr/share/e.cmake"}),
        ("dots within a path", 'openat(AT_FDCWD</x>, "/usr/lib/gcc/12/../../f.so", O_RDONLY) = 3', {"/usr/lib/f.so"}),
        ("the build's own file", f'openat(AT_FDCWD<{START}>, "src/g.h", O_RDONLY) = 3', set()),
        ("a pipe", 'newfstatat(3<pipe:[77]>, "", {st_mode=S_IFIFO}, AT_EMPTY_PATH) = 0', set()),
        ("a kernel file", 'openat(AT_FDCWD</x>, "/proc/self/maps", O_RDONLY) = 3', set()),
        ("another call", 'connect(3<socket:[1]>, {sa_family=AF_UNIX, sun_path="/run/nscd"}, 110) = 0', set()),
    ]

    def test_files(self):
        for name, line, files in self.CASES:
            with self.subTest(name):
                self.assertEqual(build_packages.parse_trace([line], START, SCRATCH).files, files)

    def test_network(self):
        for family, count in (("AF_INET", 1), ("AF_INET6", 1), ("AF_UNIX", 0)):
            with self.subTest(family):
                line = f"connect(3<socket:[1]>, {{sa_family={family}, port=443}}, 16) = 0"
                self.assertEqual(len(build_packages.parse_trace([line], START, SCRATCH).connections), count)


class Judge(unittest.TestCase):
    OWNED = {
        "/usr/include/listed.h": {"listed-dev"},
        "/usr/include/other.h": {"other-dev"},
        "/usr/include/shared.h": {"listed-dev", "other-dev"},
        "/usr/lib/merged.so": {"other-dev"},
        "/usr/bin/tool": {"tool"},
    }
    LINKS = {"/usr/bin/cc": ["/usr/bin/cc", "/etc/alternatives/cc", "/usr/bin/tool"]}
    CASES = [
        ("of a listed package", "/usr/include/listed.h", set(), []),
        ("of a package that isn't listed", "/usr/include/other.h", {"other-dev"}, []),
        ("of several, one of them listed", "/usr/include/shared.h", set(), []),
        ("below a merged folder", "/lib/merged.so", {"other-dev"}, []),
        ("of no package", "/usr/local/include/own.h", set(), ["/usr/local/include/own.h"]),
        ("a link that no package owns to a listed tool", "/usr/bin/cc", set(), []),
        ("read with its whole folder", "/etc/ld.so.conf.d/cuda.conf", set(), []),
        ("a plug-in that happens to be there", "/usr/lib/llvm/gold.so", set(), []),
    ]

    def judge(self, path):
        allowed = {"listed-dev", "tool"}
        links = lambda it: self.LINKS.get(it, [it])
        ignored = {"/usr/lib/llvm/gold.so"}
        return build_packages.judge([path], self.OWNED, allowed, ignored, links, lambda _: False)

    def test_verdicts(self):
        for name, path, unlisted, unowned in self.CASES:
            with self.subTest(name):
                verdict = self.judge(path)
                self.assertEqual(set(verdict.unlisted), unlisted)
                self.assertEqual(verdict.unowned, unowned)


class LinksOf(unittest.TestCase):
    def test_each_link_is_named(self):
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name).resolve()
            (folder / "real").mkdir()
            (folder / "real" / "lib.so.1").touch()
            (folder / "real" / "lib.so").symlink_to("lib.so.1")
            (folder / "merged").symlink_to("real")
            found = build_packages.links_of(str(folder / "merged" / "lib.so"))
            self.assertEqual(found, [str(folder / "real" / it) for it in ("lib.so", "lib.so.1")])


if __name__ == "__main__":
    unittest.main()
