"""Tests of the days' generator."""
import contextlib
import io
import pathlib
import subprocess
import sys
import tempfile
import tomllib
import unittest

FOLDER = pathlib.Path(__file__).resolve().parents[2] / "bench/days"
sys.path.insert(0, str(FOLDER))

import generate
from mixed.day import Day, Entry
from mixed.doses import Doses
from mixed.shapes import LENGTHS, SHORTEST_S, SHAPES, make_day
from mixed.sitefile import SiteError, parse_site
from site_text import MINIMAL, SITE

SEEDS = range(1, 201)
LOSS_KINDS = {"primary_cut", "srv_crash", "srv_cut", "replica_lag"}
DELAY_KINDS = {"platform_lost", "platform_slow", "platform_down", "node_freeze", "node_kill"}


def days(text=SITE, source="site", length=None):
    """Yields the shape and the parsed day of each shape and seed."""
    site = parse_site(text, "site.toml")
    doses = Doses(site, source)
    for shape in SHAPES:
        for seed in SEEDS:
            day = make_day(shape, seed, site, doses, length or LENGTHS[shape])
            yield shape, tomllib.loads(day.to_toml())


def entries(day):
    return day["plan"] + day["faults"]


class GeneratedDays(unittest.TestCase):
    def test_a_seed_always_gives_the_same_day(self):
        self.assertEqual(list(days()), list(days()))

    def test_seeds_shapes_and_sites_give_different_days(self):
        texts = [str(entries(day)) for text in (SITE, SITE.replace("harbour", "quay")) for _, day in days(text)]
        self.assertEqual(len(set(texts)), len(texts))

    def test_a_day_does_not_depend_on_the_days_before_it(self):
        with tempfile.TemporaryDirectory() as folder:
            site = pathlib.Path(folder) / "site.toml"
            site.write_text(SITE)
            for out, first, count in (("many", "1", "5"), ("one", "4", "1")):
                with contextlib.redirect_stdout(io.StringIO()):
                    status = generate.main([str(site), "--seed", first, "--days", count, "--out", f"{folder}/{out}"])
                self.assertEqual(status, 0)
            self.assertEqual((pathlib.Path(folder) / "many/loss-4.toml").read_bytes(),
                             (pathlib.Path(folder) / "one/loss-4.toml").read_bytes())

    def test_days_do_not_depend_on_the_process(self):
        code = ("import sys; sys.path[:0] = sys.argv[1:]; import generator_tests as t; "
                "print(hash(('a',)), file=sys.stderr); print(list(t.days()))")
        texts = []
        for hash_seed in ("1", "2"):
            texts.append(subprocess.run(
                [sys.executable, "-c", code, str(pathlib.Path(__file__).parent)], env={"PYTHONHASHSEED": hash_seed},
                capture_output=True, check=True).stdout)
        self.assertEqual(texts[0], texts[1])

    def test_every_moment_lies_within_the_day(self):
        for text in (SITE, MINIMAL):
            for length in (None, SHORTEST_S, 200):
                for _, day in days(text, length=length):
                    self.assertTrue(day["plan"] and day["faults"])
                    for entry in entries(day):
                        self.assertGreater(entry["at"], 0)
                        self.assertGreater(entry.get("for_s", 1), 0)
                        self.assertLess(entry["at"] + entry.get("for_s", 0), day["length_s"])

    def test_every_target_that_is_struck_belongs_to_a_service_with_a_database(self):
        struck = {entry["service"] for _, day in days() for entry in entries(day) if "service" in entry}
        self.assertEqual(struck, {"ledger", "stock"})

    def test_shape_loss_follows_each_release_with_a_loss_and_at_most_one_delay_beside_it(self):
        for shape, day in days():
            if shape != "loss":
                continue
            starts = [release["at"] for release in day["plan"]]
            for gap in (later - earlier for earlier, later in zip(starts, starts[1:])):
                self.assertTrue(14.98 <= gap <= 18.02, gap)
            losses = [fault for fault in day["faults"] if fault["kind"] in LOSS_KINDS]
            delays = [fault for fault in day["faults"] if fault["kind"] in DELAY_KINDS]
            self.assertEqual(len(losses) + len(delays), len(day["faults"]))
            self.assertEqual(len(losses), len(starts))
            for start, loss in zip(starts, losses):
                self.assertTrue(0.18 <= loss["at"] - start <= 8.02)
                self.assertEqual(loss["service"], next(r["service"] for r in day["plan"] if r["at"] == start))
                self.assertLessEqual(sum(abs(delay["at"] - loss["at"]) <= 2.02 for delay in delays), 1)
            for delay in delays:
                self.assertTrue(any(abs(delay["at"] - loss["at"]) <= 2.02 for loss in losses))

    def test_shape_mix_has_a_release_a_host_loss_and_a_target_loss_in_every_part(self):
        for shape, day in days():
            if shape != "mix":
                continue
            for release in day["plan"]:
                part = [fault for fault in day["faults"] if 0 < fault["at"] - release["at"] <= 12.02]
                kinds = {fault["kind"] for fault in part}
                self.assertTrue(kinds & {"herd_kill", "node_cut", "core_cut"})
                self.assertTrue(kinds & LOSS_KINDS)

    def test_every_variant_that_the_shapes_name_comes_up(self):
        seen = {(entry["kind"], entry.get("how", "")) for _, day in days() for entry in entries(day)}
        self.assertLessEqual({
            ("release", "across"), ("release", "primary"), ("release", ""), ("primary_cut", "replicas"),
            ("primary_cut", "core"), ("primary_cut", "split"), ("primary_cut", "heals"), ("primary_cut", ""),
            ("srv_crash", "primary"), ("srv_crash", "dark primary"), ("srv_cut", ""), ("srv_cut", "reborn"),
            ("replica_lag", "deaf crash"), ("platform_lost", "late"), ("platform_lost", ""), ("platform_slow", ""),
            ("node_freeze", "giver"), ("node_freeze", "renewed"), ("node_kill", "giver"), ("node_kill", "leader"),
            ("platform_down", "nodes"), ("herd_kill", ""), ("node_cut", "all"), ("core_cut", "leader"),
            ("node_cut", "servers reborn")}, seen)


class DosesOfDays(unittest.TestCase):
    def largest(self, kind, how, field, **options):
        return max(entry[field] for _, day in days(**options) for entry in entries(day)
                   if entry["kind"] == kind and entry.get("how", "") == how)

    def check_all(self, limits, **options):
        for (kind, how, field), limit in limits.items():
            with self.subTest(kind=kind, how=how, field=field):
                largest = self.largest(kind, how, field, **options)
                self.assertLessEqual(largest, limit)
                self.assertGreater(largest, 0.8 * limit)

    def test_figures_keep_to_the_list_and_the_standard_days(self):
        self.check_all({
            ("primary_cut", "core", "share"): 0.65, ("primary_cut", "replicas", "for_s"): 7.0,
            ("platform_lost", "", "x"): 0.35, ("herd_kill", "", "share"): 0.55, ("herd_kill", "", "for_s"): 2.0,
            ("node_cut", "all", "share"): 0.35, ("node_cut", "all", "for_s"): 12.0,
            ("replica_lag", "deaf crash", "x"): 60.0, ("platform_down", "nodes", "share"): 0.33})

    def test_figures_keep_to_the_list_alone_if_asked(self):
        self.check_all({("primary_cut", "core", "share"): 0.45, ("primary_cut", "split", "for_s"): 5.0,
                        ("node_cut", "all", "share"): 0.17, ("node_cut", "all", "for_s"): 5.5}, source="list")

    def test_a_share_of_targets_does_not_follow_a_share_of_hosts_in_a_standard_day(self):
        self.check_all({("node_cut", "servers reborn", "share"): 0.17, ("node_cut", "servers reborn", "for_s"): 5.5})

    def test_a_kind_that_the_site_does_not_list_has_its_defaults(self):
        self.check_all({("srv_cut", "", "share"): 0.2, ("srv_cut", "some", "x"): 0.3, ("platform_slow", "", "x"): 50.0,
                        ("srv_crash", "primary", "for_s"): 5.0})
        self.check_all({("primary_cut", "core", "share"): 0.4, ("herd_kill", "", "share"): 0.6}, text=MINIMAL)

    def test_releases_replace_one_target_at_a_time_and_pause_for_a_second_at_least(self):
        for _, day in days():
            for release in day["plan"]:
                self.assertEqual((release["kind"], release["x"]), ("release", 1))
                self.assertGreaterEqual(release["gap_s"], 1.0)

    def test_counted_hosts_and_replicas_are_struck_one_at_a_time(self):
        for _, day in days():
            for entry in day["faults"]:
                if entry["kind"] in ("node_kill", "node_freeze", "core_cut") or entry.get("how") == "deaf crash":
                    self.assertEqual(entry["count"], 1)

    def test_a_dose_of_zero_stays_zero(self):
        text = MINIMAL.replace("troubles = []", 'troubles = [{ kind = "platform_lost", x = 0.0 }]')
        self.assertEqual(self.largest("platform_lost", "late", "x", text=text), 0)


class TextOfDays(unittest.TestCase):
    def test_names_with_quotes_backslashes_and_other_letters_are_kept(self):
        entry = Entry("release", 4, {"service": 'a"b\\c\u00e9\t'})
        day = tomllib.loads(Day('q"\\', 50, (entry,), ()).to_toml())
        self.assertEqual((day["name"], day["length_s"]), ('q"\\', 50))
        self.assertEqual(day["plan"], [{"kind": "release", "service": 'a"b\\c\u00e9\t', "at": 4}])
        self.assertEqual(day["faults"], [])

    def test_entries_stand_in_the_order_of_their_beginnings(self):
        for _, day in days():
            for key in ("plan", "faults"):
                self.assertEqual([e["at"] for e in day[key]], sorted(e["at"] for e in day[key]))


class RefusedCalls(unittest.TestCase):
    def run_script(self, *arguments):
        return subprocess.run([sys.executable, str(FOLDER / "generate.py"), *arguments], capture_output=True, text=True,
                              check=False)

    def check_refused(self, *arguments, about):
        result = self.run_script(*arguments)
        self.assertEqual(result.returncode, 2, result)
        self.assertIn(about, result.stderr)
        self.assertNotIn("Traceback", result.stderr)

    def test_site_files_that_can_not_be_used_are_refused_with_the_field(self):
        cases = {
            "name = 1\ntroubles = []": "'name'",
            "name = ": "not TOML",
            'name = "a"': "'troubles'",
            'name = "a"\ntroubles = 3': "'troubles'",
            'name = "a"\ntroubles = ["x"]': "'troubles'",
            'name = "a"\ntroubles = [{ how = "x" }]': "'kind'",
            'name = "a"\ntroubles = [{ kind = "x", how = 3 }]': "'how'",
            'name = "a"\ntroubles = [{ kind = "x", share = "a" }]': "'share'",
            'name = "a"\ntroubles = [{ kind = "x", for_s = -1 }]': "'for_s'",
            'name = "a"\ntroubles = [{ kind = "x", x = nan }]': "'x'",
            'name = "a"\ntroubles = [{ kind = "x", count = true }]': "'count'",
            'name = "a"\ntroubles = []': "'services'",
            'name = "a"\ntroubles = []\nservices = [{ name = "web" }]': "'services'",
            'name = "a"\ntroubles = []\nservices = [{ db = { sync = 1 } }]': "'name'",
            MINIMAL + "day = 3\n": "'day'",
            MINIMAL + "[[day]]\nfaults = [{ at = 1 }]\n": "'kind'",
        }
        for text, about in cases.items():
            with self.subTest(text=text), self.assertRaises(SiteError) as raised:
                parse_site(text, "site.toml")
            self.assertIn("site.toml", str(raised.exception))
            self.assertIn(about, str(raised.exception))

    def test_the_script_ends_with_2_and_one_line_of_reason(self):
        with tempfile.TemporaryDirectory() as folder:
            site = pathlib.Path(folder) / "site.toml"
            site.write_text(SITE)
            binary = pathlib.Path(folder) / "binary.toml"
            binary.write_bytes(b"name = \"\xff\"")
            out = ("--out", f"{folder}/out")
            self.check_refused(f"{folder}/none.toml", *out, about="none.toml")
            self.check_refused(str(binary), *out, about="binary.toml")
            self.check_refused(folder, *out, about=folder)
            self.check_refused(str(site), about="--out")
            self.check_refused(str(site), *out, "--days", "0", about="--days")
            self.check_refused(str(site), *out, "--days", "some", about="--days")
            self.check_refused(str(site), *out, "--seed", "-1", about="--seed")
            self.check_refused(str(site), *out, "--shape", "calm", about="--shape")
            self.check_refused(str(site), *out, "--length", "5", about="--length")
            self.check_refused(str(site), "--out", str(site), about="site.toml")
            self.assertFalse((pathlib.Path(folder) / "out").exists())

    def test_help_names_every_option(self):
        result = self.run_script("--help")
        self.assertEqual(result.returncode, 0)
        for option in ("--shape", "--seed", "--days", "--out", "--length", "--doses"):
            self.assertIn(option, result.stdout)


if __name__ == "__main__":
    unittest.main()
