// Frames of the link protocol, and its messages other than calls.

// One message: class name, number of its call (negated in the reply, zero
// outside of calls), and encoded message.
struct Frame {
  1: string kind,
  2: i64 correlation,
  3: binary payload,
}

// First message on a link, from the process that opened it.
struct Hello {
  1: string vm,
  2: string zone,
  3: string incarnation,
  4: i32 protocol,
}

// Liveness check, sent while calls wait.
struct Ping {
  1: i64 nonce,
}

// Reply to Ping, with its nonce.
struct Pong {
  1: i64 nonce,
}

// Ask to cancel the handler of the call with this number.
struct CancelRequest {
  1: i64 cancelled,
}
