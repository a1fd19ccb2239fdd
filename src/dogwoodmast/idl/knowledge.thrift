// Comparison and transfer of versioned documents between entry VMs.
// document_messages.py describes the messages and their fields.

struct KnownVersion {
  1: string name,
  2: i64 term,
  3: i64 rank,
  4: i64 number,
}

struct DocumentCopy {
  1: string name,
  2: i64 term,
  3: i64 rank,
  4: i64 number,
  5: binary content,
}

struct CompareDigest {
  1: i64 digest,
}

struct DigestAnswer {
  1: bool same,
}

struct PullDocuments {
  1: list<KnownVersion> versions,
}

struct PulledDocuments {
  1: list<DocumentCopy> documents,
  2: list<string> wanted,
}

struct OfferDocuments {
  1: list<DocumentCopy> documents,
}

struct OfferAccepted {
  1: i32 learned,
}
