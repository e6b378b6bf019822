"""Site files for the tests."""

SITE = """
name = "harbour"
wire = "wire.json"
services = [
  { name = "plain", servers = [{ zone = "a", count = 2 }] },
  { name = "ledger", servers = [{ zone = "a", count = 1 }, { zone = "b", count = 1 }, { zone = "c", count = 1 }], copies = 3, db = { sync = 1 } },
  { name = "stock", servers = [{ zone = "a", count = 1 }, { zone = "b", count = 1 }, { zone = "c", count = 1 }], copies = 2, db = { sync = 1 } },
]
troubles = [
  { kind = "primary_cut", share = 0.45, for_s = 5.0, how = "core" },
  { kind = "platform_lost", x = 0.35, for_s = 4.5, how = "late" },
  { kind = "platform_down", for_s = 4.5, how = "silent", share = 0.2 },
  { kind = "platform_down", for_s = 9.0, how = "nodes busy", share = 0.33 },
  { kind = "node_cut", share = 0.17, for_s = 5.5 },
  { kind = "herd_kill", share = 0.55, for_s = 2.0, how = "" },
  { kind = "replica_lag", x = 60.0, for_s = 6.5, share = 0.7 },
]
[[day]]
name = "standard"
plan = [{ kind = "config_change", how = "idle", at = 3.0 }]
faults = [
  { kind = "primary_cut", share = 0.65, for_s = 7.0, how = "split", at = 8.0 },
  { kind = "node_cut", share = 0.35, for_s = 12.0, how = "meet", at = 1.0 },
]
"""

MINIMAL = """
name = "bare"
services = [{ name = "ledger", servers = [{ zone = "a", count = 3 }], db = { sync = 1 } }]
troubles = []
"""
