"""Tests of the days' player, with a stand-in for the bench."""
import json
import pathlib
import subprocess
import sys
import tempfile
import tomllib
import unittest

FOLDER = pathlib.Path(__file__).resolve().parents[2] / "bench/days"
sys.path.insert(0, str(FOLDER))

from mixed.plays import Play, seed_of, summary
from mixed.sitecopy import resized_text
from mixed.sitefile import SiteError
from site_text import MINIMAL, SITE

# Writes its call beside the report; a day tells in its name what is to happen.
BENCH = f"""#!{sys.executable}
import json, pathlib, sys, time
arguments = sys.argv[1:]
report = pathlib.Path(arguments[arguments.index("--report") + 1])
report.with_suffix(".call").write_text(json.dumps(arguments))
name = pathlib.Path(arguments[2]).stem
if name.startswith("slow"):
    time.sleep(30)
if name.startswith("dead"):
    sys.exit(3)
breaks = {{"LOST": 2, "STALE": 1}} if name.startswith("broken") else {{}}
report.write_text("[]" if name.startswith("odd") else json.dumps({{"breaks": breaks, "fault": None}}))
"""


class PlayedFolders(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.site = self.folder / "site.toml"
        self.site.write_text(SITE)
        (self.folder / "wire.json").write_text("{}")
        self.bench = self.folder / "bench"
        self.bench.write_text(BENCH)
        self.bench.chmod(0o755)
        self.days = self.folder / "days"
        self.days.mkdir()
        self.out = self.folder / "out"

    def add_days(self, *names):
        for name in names:
            (self.days / f"{name}.toml").write_text(f'name = "{name}"\n')

    def play(self, *arguments):
        return subprocess.run([sys.executable, str(FOLDER / "play.py"), str(self.site), str(self.days), "--out",
                               str(self.out), "--bench", str(self.bench), *arguments],
                              capture_output=True, text=True, check=False)

    def call(self, name):
        return json.loads((self.out / f"{name}.call").read_text())

    def test_the_table_lists_every_day_with_its_seed_and_the_broken_rules(self):
        self.add_days("held-10", "held-9", "broken-2")
        result = self.play("--jobs", "3", "--keep", str(self.folder / "kept"))
        self.assertEqual(result.returncode, 1, result)
        self.assertEqual((self.out / "table.md").read_text(),
                         "| day | seed | broken |\n|---|---|---|\n| broken-2.toml | 2 | LOST 2, STALE 1 |\n"
                         "| held-9.toml | 9 | - |\n| held-10.toml | 10 | - |\n\n"
                         "harbour: 3 plays, 1 with a broken rule: LOST on 1 (2), STALE on 1 (1)\n")
        self.assertEqual([path.name for path in (self.folder / "kept").iterdir()], ["harbour-broken-2.toml"])

    def test_a_folder_on_which_no_rule_breaks_ends_with_0(self):
        self.add_days("held-1")
        self.assertEqual(self.play().returncode, 0)

    def test_a_play_without_a_usable_report_is_not_taken_for_one_that_held(self):
        self.add_days("dead-1", "odd-2", "slow-3")
        (self.out).mkdir()
        (self.out / "dead-1-seed-1.json").write_text('{"breaks": {}}')
        result = self.play("--limit", "1")
        self.assertEqual(result.returncode, 1, result)
        table = (self.out / "table.md").read_text()
        self.assertIn("| dead-1.toml | 1 | status 3, no report", table)
        self.assertIn("| odd-2.toml | 2 | status 0, no report: the report has no 'breaks' |", table)
        self.assertIn("| slow-3.toml | 3 | no result within 1 s |", table)
        self.assertIn("3 with a problem", table)

    def test_the_bench_is_called_with_seed_one_job_and_the_reason(self):
        self.add_days("held-7")
        self.play("--why", "a trial", "--seed", "0")
        call = self.call("held-7-seed-0")
        self.assertEqual(call[:3], ["run", str(self.site.resolve()), str((self.days / "held-7.toml").resolve())])
        for option, value in (("--seed", "0"), ("--jobs", "1"), ("--why", "a trial")):
            self.assertEqual(call[call.index(option) + 1], value)
        self.assertIn("--no-cpu", call)
        self.play("--cpu")
        self.assertNotIn("--no-cpu", self.call("held-7-seed-7"))

    def test_a_copy_of_the_site_with_larger_groups_is_played(self):
        self.add_days("held-1")
        result = self.play("--members", "5", "--sync", "2")
        self.assertEqual(result.returncode, 0, result)
        copy = self.out.resolve() / "site-5-2.toml"
        self.assertEqual(self.call("held-1-seed-1")[1], str(copy))
        self.assertTrue((self.out / "wire.json").exists())
        self.assertEqual(self.site.read_text(), SITE)

    def test_wrong_calls_end_with_2(self):
        for arguments in (("--members", "5"), ("--members", "2", "--sync", "2"), ("--jobs", "0"), ("--seed", "x")):
            self.assertEqual(self.play(*arguments).returncode, 2)
        result = self.play()
        self.assertEqual(result.returncode, 2)
        self.assertIn("no day files", result.stderr)
        self.add_days("held-1")
        self.site.write_text("name = ")
        result = self.play()
        self.assertEqual((result.returncode, "not TOML" in result.stderr), (2, True))


class Summaries(unittest.TestCase):
    def test_days_and_counts_of_each_rule_are_summed(self):
        plays = [Play("a", 1, {"LOST": 3}), Play("b", 2, {"LOST": 4, "ONE": 1}), Play("c", 3, {}, "a fault")]
        text = summary("s", plays)
        self.assertIn("| c | 3 | a fault |", text)
        self.assertIn("s: 3 plays, 2 with a broken rule: LOST on 2 (7), ONE on 1 (1); 1 with a problem", text)

    def test_seeds_come_from_the_names_or_are_counted_on(self):
        self.assertEqual(seed_of(pathlib.Path("loss-41.toml"), 0, None), 41)
        self.assertEqual(seed_of(pathlib.Path("calm.toml"), 2, None), 3)
        self.assertEqual(seed_of(pathlib.Path("loss-41.toml"), 2, 100), 102)


class ResizedSites(unittest.TestCase):
    def test_every_service_with_a_database_gets_the_members_and_the_sync_replicas(self):
        for members, counts in ((5, [2, 2, 1]), (3, [1, 1, 1]), (2, [1, 1])):
            site = tomllib.loads(resized_text(SITE, members, 1, "site.toml"))
            plain, ledger, stock = site["services"]
            self.assertEqual([entry["count"] for entry in ledger["servers"]], counts)
            self.assertEqual(stock["servers"], ledger["servers"])
            self.assertEqual(plain["servers"], [{"zone": "a", "count": 2}])

    def test_nothing_else_changes(self):
        before, after = tomllib.loads(SITE), tomllib.loads(resized_text(SITE, 5, 2, "site.toml"))
        self.assertEqual(after.pop("name"), "harbour-5-2")
        self.assertEqual(before.pop("name"), "harbour")
        for site, sync in ((before, 1), (after, 2)):
            for service in site["services"]:
                service.pop("servers")
                if "db" in service:
                    self.assertEqual(service["db"].pop("sync"), sync)
        self.assertEqual(before, after)

    def test_a_site_that_can_not_be_changed_is_refused(self):
        for text in (MINIMAL, SITE.replace("sync = 1", "lag = 1"), SITE.replace("servers = [", "machines = [")):
            with self.assertRaises(SiteError):
                resized_text(text, 5, 2, "site.toml")


if __name__ == "__main__":
    unittest.main()
