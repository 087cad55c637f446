# Makes a one-hour trace from a workload's description: awk -v deployment=imena
# -f make.awk.  Every caller works on keys of its own, so that the stated rows
# follow from its own writes whatever the order of others.
function line(at, caller, database, kind, sql, key, value, stated) {
  printf "{\"at_ms\":%d,\"caller\":\"%s\",\"path\":\"/v1/run\",\"body\":{\"database\":\"%s\",\"kind\":\"%s\"%s,\"statements\":[{\"text\":\"%s\",\"args\":[\"%s\"%s]}]},\"answer\":{\"outcome\":\"done\"%s}}\n",
    at, caller, database, kind, value != "" ? ",\"request_id\":\"-\"" : "", sql, key,
    value != "" ? ",\"" value "\"" : "", stated
}
BEGIN {
  srand(7)
  read = "SELECT key, value FROM records WHERE key = $1"
  write = "UPDATE records SET value = $2 WHERE key = $1"
  if (deployment == "suva") {
    n = split("clerk resident jeweller", roles, " ")
    split("tickets tickets benches", bases, " "); split("open-intake pickup-lookup record-bench", writes, " ")
    lookup = "pickup-lookup"; deposits = "deposits"
  } else {
    n = split("keeper runner floor", roles, " ")
    split("orders bins tallies", bases, " "); split("place-order bin-lookup record-tally", writes, " ")
    lookup = "bin-lookup"
  }
  for (at = 0; at < 3600000; at += int(-log(1 - rand()) * 1500) + 1) {
    r = int(rand() * n) + 1; who = roles[r] "-" int(rand() * 5)
    db = bases[r]; key = who "-" int(rand() * 3)
    # Lookups are the most frequent kind; a caller sees at least its own latest
    # write.
    if (writes[r] == lookup || rand() < 0.4 || at > 3590000)
      line(at, who, db, lookup, read, key, "", (key in last) ? ",\"results\":[{\"rows\":[[\"" key "\",\"" last[key] "\"]]}]" : "")
    else {
      last[key] = ++count
      line(at, who, db, writes[r], write, key, count, "")
      # Each intake is followed by the write of its deposit.
      if (deployment == "suva" && r == 1)
        line(at, who, deposits, "open-intake", write, key "-deposit", count, "")
    }
  }
}
