// Messages between the keepers of a service's room in different availability
// zones.  The fields are described in direct/zones/zone_news.py.

struct ZoneNews {
  1: string vm,
  2: string service_name,
  3: string zone,
  4: i64 free = 0,
  5: i64 slots = 0,
  6: double rate = 0,
  7: i64 waiting = 0,
  8: double demand = 0,
  9: double duration = 0,
  10: string to_zone = "",
}
