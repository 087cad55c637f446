# Computes docs/CAPACITY.md from the measured slopes (cost per VM, database,
# connection or request) in docs/slopes.txt (name=value).  Every figure is a
# measured slope multiplied by a count; only the counts of the two-year target
# are constants here.
BEGIN { FS = "=" }
{ v[$1] = $2 }

function row(what, state, cost, from, carried) {
  printf "| %s | %s | %s | `%s` | %s |\n", what, state, cost, from, carried
}
function bound_row(name, value, limit, unit) {
  printf "| %s | %.2f %s | %.2f %s | %s |\n", name, value, unit, limit, unit,
    value <= limit ? "fits" : sprintf("**does not fit: %.1f times the bound**", value / limit)
}

END {
  nodes = 4900; databases = 5200; instances = 15600; centres = 9
  callers = 22000000 / nodes; rate = 2000000 / nodes
  per_centre = nodes / centres
  homes = instances / nodes; groups = homes
  upstream_conns = instances * 16 / nodes
  changes = 2900; promotions = 8; vm_changes = 18 + 640

  # Slopes.
  conn_kb = (v["connections.4490.rss_mb"] - v["connections.100.rss_mb"]) * 1024 / 4390
  request_us = v["mix.1000.cpu_us_per_request"]
  home_cpu = (v["control.3.cpu_percent_of_core"] - v["control.9.cpu_percent_of_core"]) / 2
  if (home_cpu < 0) home_cpu = 0
  base_cpu = v["control.9.cpu_percent_of_core"] - home_cpu
  beat = v["members.heartbeat_bytes"]; targets = v["members.targets"]
  spread = v["spread.1600.seconds"] + log(nodes / 1600) / log(2) * (v["spread.1600.seconds"] - v["spread.400.seconds"]) / 2
  status_bytes = v["status.bytes_per_question"]

  # Control traffic and processing, per node.
  beats_s = 2 * targets
  beat_bytes = beats_s * beat * 2
  member_cpu = (2 * v["members.round_us"] + beats_s * v["members.hear_us"]) / 10000
  # Each change of a VM is announced as suspect, dead and alive, which makes three
  # changes of the ring and the roles.
  change_cpu = vm_changes * 3 * (v["members.change_us"] / 1000 + v["members.roles_ms"]) / 86400 / 10
  # Each change takes two pulls (manifest and one file) and one parse of all files.
  manifest_bytes = databases / 20 * 100
  config_cpu = changes * v["declarations.parse_ms"] / 86400 / 10
  config_bytes = changes * (manifest_bytes + v["declarations.file_bytes"]) / 86400 * 2
  cpu = base_cpu + homes * home_cpu + member_cpu + change_cpu + config_cpu
  questions = groups * 3 / 0.4
  peer_bytes = beat_bytes + config_bytes
  probe_bytes = questions * status_bytes
  member_mb = nodes * v["members.heap_kb_per_vm"] / 1024
  decl_mb = databases * (v["declarations.heap_kb_per_database"] + v["declarations.text_kb_per_database"]) / 1024
  group_mb = groups * v["home.group_bytes"] / 1048576
  link_mb = (3 + 30 * 2) * 2 * v["links.rss_kb_per_link"] / 1024
  cache_mb = instances * 0.1 / 1024
  control_mb = member_mb + decl_mb + group_mb + link_mb + cache_mb
  data_links = nodes * (1 - exp(-rate * 30 / nodes))
  data_link_mb = data_links * 2 * v["links.rss_kb_per_link"] / 1024

  print "# Capacity"
  print ""
  print "Written by `make capacity` from `docs/slopes.txt`; do not edit. `make slopes`"
  print "measures the slopes of the code (membership, declarations, links, spread),"
  print "`make bench` those of connections and requests, `make bench-fleet` those of"
  print "control and failover. Two-year size: 4,900 nodes, 5,200 databases of 3"
  print "instances, 9 data centres, 22 million connections, 2 million statements/s."
  print ""
  print "## Counts a node"
  print ""
  print "| what | count |"
  print "| --- | --- |"
  printf "| caller connections | %.0f |\n| statements/s | %.0f |\n", callers, rate
  printf "| active homes (instances) | %.2f |\n| upstream connections | %.0f |\n", homes, upstream_conns
  printf "| VMs in its data centre | %.0f |\n", per_centre
  print ""
  print "## By role"
  print ""
  print "| role | state and messages | cost a node | slope | carried by |"
  print "| --- | --- | --- | --- | --- |"
  row("request coordinator", sprintf("%.0f connections", callers), sprintf("%.0f MB", callers * conn_kb / 1024), sprintf("%.1f KB a connection", conn_kb), "CivetWeb thread a connection, small stacks")
  row("request coordinator", sprintf("%.0f statements/s", rate), sprintf("%.1f%% of a core", rate * request_us / 10000), sprintf("%.0f us a request", request_us), "one engine thread, mailbox")
  row("request coordinator", sprintf("%.0f peer links in use within 30 s, both ways", data_links), sprintf("%.0f MB", data_link_mb), sprintf("%.1f KB a link end", v["links.rss_kb_per_link"]), "one DEALER a peer, closed when idle")
  row("home", sprintf("%.2f groups watched", groups), sprintf("%.2f MB, %.3f%% of a core", group_mb, homes * home_cpu), sprintf("%d B, %.3f%% a home", v["home.group_bytes"], home_cpu), "status requests every 0.4 s on 3 control connections a group")
  row("home", sprintf("%.1f status requests/s", questions), sprintf("%.0f B/s to instances", probe_bytes), sprintf("%.0f B a request and its reply", status_bytes), "libpq, one row")
  row("standby", "nothing until asked; then as a home, a quarter of the connections", "0", "home.group_bytes", "watches 10 s after its last request")
  row("member", sprintf("%d VMs known, %.0f heartbeats/s sent", nodes, beats_s), sprintf("%.1f MB, %.3f%% of a core, %.0f B/s", member_mb, member_cpu, beat_bytes), sprintf("%.2f KB a VM, %.0f us a round, %d B a heartbeat", v["members.heap_kb_per_vm"], v["members.round_us"], beat), "ring of 3 observers and 1 random target")
  row("member", sprintf("%d VM changes a day", vm_changes), sprintf("%.4f%% of a core", change_cpu), sprintf("%.1f ms for new roles", v["members.roles_ms"]), "rendezvous among the VMs of a data centre, batched 0.2 s")
  row("configuration", sprintf("%d changes a day, %.0f files", changes, databases / 20), sprintf("%.1f MB, %.4f%% of a core, %.0f B/s", decl_mb, config_cpu, config_bytes), sprintf("%.1f ms to parse all, %.2f KB a database", v["declarations.parse_ms"], v["declarations.heap_kb_per_database"] + v["declarations.text_kb_per_database"]), "manifest and changed files pulled from a peer")
  row("watcher", "2 a data centre, 18 in all", sprintf("%.1f store reads/s in all, 18 waiting watches", 18 * 2 / 10 + 18 * 2 * changes / 86400), "reconcile_ms=10000, 2 reads", "chosen as homes are; circuit breaker, 5 calls/s each at most")
  row("failover coordinator", sprintf("%d changes of primary a day in the fleet", promotions), "3 fences, 1 promote, 2 follows each", sprintf("worst gap %.1f s (Imena)", v["imena.failover_worst_ms"] / 1000), "the group's own homes; nothing central")
  row("operator's command", sprintf("apply --wait asks %d proxies", nodes), sprintf("%.1f s at 64 in parallel and 20 ms each", nodes / 64 * 0.02), "20 ms: the longest way", "64 threads")
  print ""
  print "## Bounds"
  print ""
  print "| bound | worked out | allowed | |"
  print "| --- | --- | --- | --- |"
  bound_row("control: processor a node", cpu, 1.2, "% of a core")
  bound_row("control: memory a node beyond the bare process", control_mb, 32, "MB")
  bound_row("control: bytes/s to peers", peer_bytes / 1000, 10, "KB/s")
  bound_row("control: bytes/s to peers and instances", (peer_bytes + probe_bytes) / 1000, 10, "KB/s")
  bound_row("a file in force everywhere: spread to 4,900 nodes and watch", spread + 1, 14, "s")
  bound_row("change of primary (worst measured, Imena)", v["imena.failover_worst_ms"] / 1000, 7, "s")
  bound_row("change of primary (worst measured, Suva)", v["suva.failover_worst_ms"] / 1000, 7, "s")
  bound_row("statements: processor a node", rate * request_us / 10000, 200, "% of a core")
  bound_row("store reads/s in all", 18 * 2 / 10 + 18 * 2 * changes / 86400, 2000, "reads/s")
  bound_row("store writes/s in all", changes / 86400, 300, "writes/s")
  print ""
  printf "The bare process: %.0f MB at %d threads (`make bench`, idle.rss_mb), of which\n", v["idle.rss_mb"], 4611
  print "the stacks of idle listener threads are the largest part; with 4 threads it is"
  printf "%.0f MB (`control.9.rss_mb`).\n", v["control.9.rss_mb"]
  print ""
  print "Processor time of control: `control.N` runs have 3 databases on N nodes without"
  printf "callers; base %.3f%% (ticks, heartbeats, listeners) and %.3f%% a home.\n", base_cpu, home_cpu
  print ""
  print "## Losses"
  print ""
  print "| what is lost | what moves | how long | load of the survivors |"
  print "| --- | --- | --- | --- |"
  printf "| a VM (18 a day fail, 640 are replaced) | %.1f homes, %.0f callers | dead after 1.8 s of silence and one exchange, homes open 2 connections at once | +%.2f%% in its data centre |\n", homes, callers, 100 / (per_centre - 1)
  printf "| a rack (10%% of a data centre, %.0f VMs) | %.0f homes, %.0f callers | the same; roles are computed once, %.0f ms | +11%% in its data centre |\n", per_centre / 10, homes * per_centre / 10, callers * per_centre / 10, v["members.roles_ms"]
  printf "| a data centre (%.0f VMs) | a third of the primaries of its groups: %.0f promotions; homes of dead instances are not moved | the failover's 7 s; each group's own homes coordinate it, at once | +12.5%% callers elsewhere; one replica fewer |\n", per_centre, databases / centres
  print "| a region link for minutes | nothing on the majority's side | writes of the cut side are refused at once, stale reads until their age | none |"
  printf "\nReconnecting callers come through the balancer: %.0f connections of a lost VM over %.0f\n", callers, per_centre - 1
  printf "VMs are %.0f each. A rack's callers are %.0f more on each survivor: the listener's threads\n", callers / (per_centre - 1), callers * per_centre / 10 / (per_centre * 0.9)
  print "must be set 15% above the normal count, 22% for the loss of a data centre."
  print "Upstream connections are opened two at a time by each home with random pauses."
  print ""
  print "## Where the sum is tight"
  print ""
  printf "- Peer links of request coordinators: traffic spread evenly over all databases touches\n  %.0f peers within 30 s, %.0f MB of links a node. This is the data path, not control; a\n", data_links, data_link_mb
  print "  balancer that keeps a tenant's callers on some VMs, or coordinators that forward through"
  print "  one proxy of the other data centre, would cut it. Not built yet."
  printf "- One thread a caller's connection: %.0f threads and %.0f MB a node, as measured.\n", callers, callers * conn_kb / 1024

  # Session poolers on the platform, measured with the users' benchmark on days
  # without faults with 9, 59 and 295 VMs.
  per_statement = v["pooler.295.cores"] / v["pooler.295.statements_per_s"]
  at_59 = v["pooler.59.cores"] / v["pooler.59.statements_per_s"]
  alone = v["pooler.9.cores"] / v["pooler.9.statements_per_s"]
  vm_mb = (v["pooler.295.peak_mb"] - v["pooler.59.peak_mb"]) / 236
  config_mb = databases * v["pooler.route_bytes"] * 4 / 3 / 1048576
  feeders = centres * 2
  feeder_watch_s = 14 / 4
  probes = databases / v["pooler.proof_every_s"]
  print "\n## Session poolers on the users' platform\n"
  print "Slopes from quiet days of 9, 59 and 295 VMs (`pooler.*`), not from this machine's"
  print "stand-ins and not from `fleetbench sweep`, whose day at 300 VMs took more than half"
  print "of the machine's memory beside other runs and was ended. A statement costs"
  print sprintf("%.0f us where all go directly, %.0f us at 59 VMs and %.0f us at 295, where the", alone * 1e6, at_59 * 1e6, per_statement * 1e6)
  print sprintf("load a VM has fallen from %.0f to %.0f and %.0f statements/s: most of it is background.\n", v["pooler.9.statements_per_s"], v["pooler.59.statements_per_s"], v["pooler.295.statements_per_s"])
  print "| bound | worked out | allowed | |"
  print "| --- | --- | --- | --- |"
  bound_row("statements: processor a node", rate * per_statement * 100, 200, "% of a core")
  bound_row("memory: a VM more in the table (the larger day's sessions included)", v["pooler.59.peak_mb"] + vm_mb * nodes, 32, "MB")
  bound_row("configuration: bytes a node, each change in full", changes * config_mb * 1024 / 86400, 10, "KB/s")
  bound_row("leadership checks: bytes a node, every database in use", probes * v["pooler.proof_bytes"] / 1024, 10, "KB/s")
  bound_row("store: watches of the feeders, changes they learn of", feeders / feeder_watch_s + (changes + vm_changes) * feeders / 86400, 2000, "reads/s")
  bound_row("store: renewals of entries, a tenth of a read each", nodes / 2.5 / 10, 2000, "reads/s")
  bound_row("store: three listings a start, 640 starts a day", 640 * 3 / 86400, 2000, "reads/s")
  print "\nWhat carries it, and what doesn't fit yet:\n"
  print "- Reads of the store: two feeders a data centre (`core/feed.h`), the others ask them."
  print "- Suspicions of a primary and full instances: at most twelve proxies, whatever the fleet"
  print "  (`plr_voters`)."
  print "- Memory and changes of the table of VMs: a proxy needs the homes of the instances"
  print "  that it uses and its own data centre, not all VMs; entries under a prefix a data"
  print "  centre. Not built."
  print "- The configuration in full to every node: feeders could send the routes that changed"
  print "  (as `confsync.c` does for files). Not built."
  print "- Leadership checks: a home checks each primary it holds connections to, and can"
  print "  answer for the proxies it serves: one check a home, not one a proxy. Not built."
  print "- Limits of client accounts (`packages/accounts`): worked out, not measured. A request"
  print "  and its reply for an operation at most, and fewer for a busy account; a proxy keeps"
  print "  about 400 bytes for an account in use at it. Choosing a grantor hashes the names of all"
  print "  proxies: 4,900 names for each request. Messages don't grow with accounts x proxies."
  print "- Connections of accounts: two to four homes an instance, whatever the fleet; each"
  print "  account uses one of them."
  print "\nNot measured: memory a session; the sweep."
}
