// Requests that one entry VM forwards to another, and their results.
// Headers are latin-1; names are in lower case.

struct Header {
  1: string name,
  2: string value,
}

// Request of a caller; time_left is in seconds, hops counts the forwards.
struct ForwardRequest {
  1: string service_name,
  2: string key,
  3: string method,
  4: string path,
  5: string query,
  6: list<Header> headers,
  7: binary body,
  8: string customer,
  9: string request_id,
  10: double time_left,
  11: i32 hops,
}

// Result: response of the back end.
struct ForwardAnswer {
  1: i32 status,
  2: list<Header> headers,
  3: binary body,
}

// Result: problem; retry_after is in seconds, negative for none.
struct ForwardProblem {
  1: string type_name,
  2: string outcome,
  3: string detail,
  4: double retry_after,
}
