// Messages between entry VMs that send requests directly to targets, and the
// records that these entry VMs store.  The fields are described in
// direct/messages.py.

struct VmRecord {
  1: string name,
  2: string zone,
  3: string links,
  4: string incarnation,
  5: double capacity = 0,
  6: string relay = "",
  7: bool keeps_room = 0,
}

struct DirectoryItem {
  1: string key,
  2: i64 revision,
  3: bool removed,
  4: binary content,
  5: double doubtful_for,
  6: bool is_compressed = 0,
}

struct ShardAssignment {
  1: i64 first,
  2: i64 last,
  3: string target,
  4: i64 born,
  5: i64 fence,
  6: bool open,
}

struct ShardRecord {
  1: string service_name,
  2: i64 epoch,
  3: i64 number,
  4: list<ShardAssignment> assignments,
  5: double hold = 0,
}

struct ShardUpdate {
  1: string service_name,
  2: i64 epoch,
  3: i64 base,
  4: i64 number,
  5: list<ShardAssignment> assignments,
}

struct ShardVersion {
  1: string service_name,
  2: i64 epoch,
  3: i64 number,
}

struct ShardImage {
  1: binary content,
}

struct DirectoryPull {
  1: i64 after,
  2: list<ShardVersion> tables = [],
}

struct DirectoryPage {
  1: i64 revision,
  2: double age,
  3: list<DirectoryItem> items,
  4: bool is_relayed = 0,
  5: bool is_complete = 0,
  6: bool has_gap = 0,
  7: list<ShardUpdate> updates = [],
  8: list<ShardImage> images = [],
}

struct KeyCount {
  1: i64 key,
  2: double requests,
}

struct TargetPace {
  1: string target,
  2: double seconds,
}

struct LeavingTarget {
  1: string target,
  2: i64 born,
}

struct LoadReport {
  1: string vm,
  2: string service_name,
  3: i64 epoch,
  4: i64 number,
  5: list<KeyCount> keys,
  6: list<TargetPace> paces,
  7: bool reads_store = 0,
  8: list<LeavingTarget> leaving = [],
}

struct RateRequest {
  1: string target,
  2: i64 born,
  3: i64 priority,
  4: double rate,
  5: double oldest_age,
  6: double newest_age,
  7: bool is_report = 0,
  8: double warmup_rate = 0,
}

struct RateReply {
  1: bool is_permitted,
  2: double rate,
  3: double oldest_age,
  4: double newest_age,
  5: double wait = 0,
  6: double pause = 0,
}
