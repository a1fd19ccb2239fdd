// Messages between an entry VM and the keeper of the room of a service's
// targets in one availability zone.  The fields are described in
// direct/room/messages.py.

struct RoomAsk {
  1: string vm,
  2: i64 number,
  3: string service_name,
  4: string zone,
  5: string target = "",
  6: i64 born = 0,
  7: i64 rank = 0,
  8: double time_left = 0,
  9: double objective = 0,
  10: list<string> avoided = [],
  11: list<string> connected = [],
  12: bool may_wait = 1,
  13: bool may_leave = 0,
  14: double response_size = 0,
  15: i64 body_size = 0,
  16: string earlier_zone = "",
  17: i64 caller = 0,
  18: string route = "",
}

struct RoomReply {
  1: i64 verdict,
  2: string target = "",
  3: i64 born = 0,
  4: double wait = 0,
  5: string zone = "",
  6: string reason = "",
}

struct RoomReturn {
  1: string vm,
  2: i64 number,
  3: string service_name,
  4: string zone,
  5: string target = "",
  6: i64 result = 0,
  7: double seconds = 0,
  8: string route = "",
  9: i64 running = 0,
  10: i64 waiting = 0,
  11: i64 slots = 0,
  12: double pace = 1,
  13: double age = 0,
}
