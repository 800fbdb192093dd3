// What members tell each other in datagrams. One datagram is one `Datagram`
// in the thrift compact protocol, behind a truncated keyed hash of it.
namespace py parsleystile.gen.gossip

struct Record {
  1: string node_id
  2: string vm
  3: string region
  4: string failure_domain
  5: string service_name
  6: i32 slots
  7: string link_host
  8: i32 link_port
  // Empty where it is the link's.
  9: string gossip_host
  10: i32 gossip_port
  11: i64 incarnation
  12: i32 state
  // Who suspects it; absent unless it is suspected.
  13: optional string witness
}

struct Ping {
  1: i64 sequence
}

struct Ack {
  1: i64 sequence
  2: optional bool is_stranger
}

struct PingRequest {
  1: i64 sequence
  2: string subject
}

// Four bytes, big-endian, for each bucket.
struct DigestOffer {
  1: binary digests
}

struct RecordsRequest {
  1: i32 count
  2: list<i32> buckets
}

// Exactly one; none stands for a datagram of nothing but records.
struct Body {
  1: optional Ping ping
  2: optional Ack ack
  3: optional PingRequest ping_request
  4: optional DigestOffer digest_offer
  5: optional RecordsRequest records_request
}

struct Datagram {
  1: string sender
  2: i64 incarnation
  3: i64 config_version
  4: Body body
  5: optional list<Record> updates
  6: optional list<string> withdrawn
}

// A whole view, sent over a link.
struct View {
  1: list<Record> records
}
