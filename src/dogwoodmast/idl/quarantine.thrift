// Notices of requests that were running on a target when it crashed.

struct CrashNotice {
  1: binary fingerprint,
  2: string target,
}
