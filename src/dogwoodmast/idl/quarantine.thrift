// Notices of requests that were running on a target when it crashed.

// fingerprint is a hash of the request, target the name of the crashed target.
struct CrashNotice {
  1: binary fingerprint,
  2: string target,
}
