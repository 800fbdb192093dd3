// Messages between nodes. Regenerate with `make -C idl`. On a link each
// message is a frame: 4-byte length, 1-byte kind, the struct in the thrift
// binary protocol.
namespace py parsleystile.gen

// What a target says of itself in its answers.
struct TargetNotice {
  1: string target_id
  // Start of the incarnation in milliseconds since 1970-01-01 UTC.
  2: i64 born_ms
  // Calls a second that it takes from all nodes; absent without a limit.
  3: optional double limit_per_s
  4: bool is_leaving
}

// What the guard of a target tells about itself on each answer.
struct Load {
  1: i32 in_flight
  2: i32 limit
  3: i32 queued
  // Lowest admission rank refused, for the organisation of the call, in the
  // whole subtree below; 3.0 admits all.
  4: double admission_level
  // Time until the target's rate lets another call start; absent if it does.
  5: optional i32 wait_ms
  // The notice in force; absent without one.
  6: optional TargetNotice notice
  // Lowest admission rank refused of the calls made in the subtree below, if
  // their ranks are not those of the requests that cause them; absent if all
  // are admitted.
  7: optional double child_level
  // Mean time that the target takes to answer a call; absent if not known.
  8: optional i32 service_us
}

struct Call {
  1: i64 call_id
  2: string root_id
  3: string organisation
  4: i32 importance
  5: i32 deadline_ms
  6: i32 depth
  7: i32 retry_allowance
  8: bool idempotent
  9: double draw
  10: string caller_service
  11: string callee_service
  12: string route
  13: string method
  14: string path
  15: list<string> headers
  16: binary body
  17: string idempotency_key
  // What the sender was last told of the target; its guard may have restarted.
  18: optional TargetNotice notice
  // Longest time to wait for the target's rate; absent where no other target
  // of the service is known to have room.
  19: optional i32 max_wait_ms
}

struct Answer {
  1: i64 call_id
  2: i32 outcome
  3: i32 status
  4: list<string> headers
  5: binary body
  6: i32 reason
  7: string detail
  8: i32 retry_after_ms
  9: i32 retry_unspent
  10: Load load
  // No node further up may try the call again.
  11: bool is_final
}

struct Cancel {
  1: i64 call_id
}

// First frame each way on a link. The proof is a keyed hash over the nonces.
struct Hello {
  1: string node_id
  2: binary nonce
  3: binary proof
}

// Any request and reply that is not a call: config fetch, lease, grant.
struct Control {
  1: i64 request_id
  2: bool is_reply
  3: string kind
  4: binary payload
}
