// Remembered request ids that one leaseholder hands over to the next.

// One request id; result_kind is ForwardAnswer or ForwardProblem, whose
// encoding result_payload holds.
struct LedgerEntryMessage {
  1: string request_id,
  2: binary fingerprint,
  3: string result_kind,
  4: binary result_payload,
}

// Ledger of a partition; since is in seconds since the Unix epoch.
struct LedgerExtract {
  1: string partition,
  2: double since,
  3: list<LedgerEntryMessage> entries,
}
