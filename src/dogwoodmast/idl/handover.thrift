// Replies to ledgers that are handed over and to crash notices.

// Reply to LedgerExtract: whether the ledger was imported.
struct LedgerTaken {
  1: bool taken,
}

// Reply to CrashNotice.
struct NoticeTaken {
  1: bool taken,
}
