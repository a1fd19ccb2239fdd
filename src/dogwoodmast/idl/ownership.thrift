// Coordination within one zone: lease rounds, takeover and membership.
// zone_messages.py describes the messages and their fields.  A floor is a low
// watermark of record versions; lease_left is in milliseconds.

struct TargetLease {
  1: string target,
  2: bool granted,
}

struct LeaseRound {
  1: i32 term,
  2: i32 rank,
  3: i64 member,
  14: i64 receiver,
  4: i32 members_version,
  5: i32 number,
  6: i32 renews,
  7: i32 record_version,
  8: i32 holders,
  9: i32 floor,
  10: i32 fenced_floor,
  11: i32 sequence,
  12: bool full,
  13: list<TargetLease> targets,
}

struct RoundAck {
  1: i32 number,
  2: i32 record_version,
  3: i32 settled,
  4: i32 floor,
  5: i32 fenced_floor,
  6: i32 sequence,
  7: i32 lease_left,
  8: bool leaving,
  9: list<string> held,
  10: list<string> busy,
}

struct RoundRefusal {
  1: i32 number,
  2: i32 term,
  3: i32 rank,
  4: i64 member,
  5: i32 record_version,
}

struct TakeoverProbe {
  1: i64 member,
  2: i32 members_version,
  3: i64 receiver,
}

struct ProbeAnswer {
  1: bool lost,
  2: i32 term,
  3: i32 rank,
  4: i64 member,
  5: i32 record_version,
}

struct RoleOffer {
  1: i32 term,
  2: i32 rank,
  3: i64 member,
  4: i64 receiver,
}

struct WrongReceiver {
  1: string vm,
  2: string incarnation,
}

struct RoleTaken {
  1: bool taken,
}

struct JoinRequest {
  1: string vm,
  2: string incarnation,
  3: string address,
}

struct JoinAnswer {
  1: string vm,
  2: string incarnation,
  3: bool accepted,
  4: string coordinator,
}

struct ReportLoad {
  1: binary report,
}

struct ReportTaken {
  1: bool taken,
}
