/**
 * Messages between the processes of sassafrashold. Times are Unix
 * milliseconds, ages and durations are milliseconds. JSON documents travel as
 * opaque bytes.
 */
namespace py sassafras_messages

enum FrameKind {
  REQUEST = 1,
  ITEM = 2,
  RESPONSE = 3,
  ERROR = 4,
  CANCEL = 5
}

/** Whether a refused or failed request may have run. */
enum Ran {
  NOT_RUN = 1,
  OUTCOME_UNKNOWN = 2
}

struct ErrorInfo {
  1: required string code;
  2: required string message;
  3: required Ran ran;
  4: optional i32 retry_after_ms;
  5: optional string field;
}

struct Frame {
  1: required i64 correlation_id;
  2: required FrameKind kind;
  3: optional string method;
  4: optional binary body;
  5: optional string traceparent;
  6: optional i64 deadline_unix_ms;
  7: optional ErrorInfo error;
}

struct SubQuery {
  1: required i32 shard;
  2: required string leaf;
  /** True for a hedge: refused by a cold, draining or full leaf. */
  3: optional bool extra = false;
}

struct ScatterRequest {
  1: required string request_id;
  2: required string service_name;
  3: required string index_version;
  4: required binary query;
  5: required list<SubQuery> subqueries;
  6: required string priority_class;
  /** Number of times this message has been forwarded between owners. */
  7: optional i32 hops = 0;
}

struct ShardResult {
  1: required i32 shard;
  2: required string leaf;
  /** JSON array of rows; absent when the sub-query failed. */
  3: optional binary rows;
  4: optional ErrorInfo error;
  5: optional string index_version;
  /** Time in the owner's queue. */
  6: optional i32 queue_ms;
  /** Time of the leaf call. */
  7: optional i32 leaf_ms;
  /** Sub-queries that shared the leaf call. */
  8: optional i32 batch_size;
  /** True while the leaf's cold-start window is below its slots. */
  9: optional bool cold;
}

struct ScatterEnd {
  1: required i32 results;
}

struct DispatchRequest {
  1: required string request_id;
  2: required string service_name;
  3: required string idempotency_key;
  4: required string claim_id;
  5: required string leaf;
  6: required binary body;
}

struct DispatchReply {
  1: required binary result;
  2: optional i32 leaf_ms;
}

struct Empty {}

/** One object of the local view, as sent by control to entry and owner. */
struct ViewObject {
  1: required string key;
  2: required i64 version;
  3: required binary value;
}

struct SubscribeRequest {
  1: required string process;
  2: optional list<string> prefixes;
}

struct HostIncarnation {
  1: required string host;
  2: required string incarnation;
}

struct EarlierOwners {
  1: required i64 epoch;
  2: required list<string> members;
  3: required list<HostIncarnation> unreleased;
}

struct EntitlementRequest {
  1: required string incarnation;
  /** Newest epoch the owner has adopted with nothing in flight elsewhere. */
  2: required i64 released_epoch;
  /** True when the owner process is draining. */
  3: required bool leaving;
}

struct EntitlementReply {
  1: required string zone;
  2: required i64 epoch;
  3: required list<string> members;
  /** Age of the evidence for this epoch; absent when there is none. */
  4: optional i64 evidence_age_ms;
  5: required list<EarlierOwners> earlier;
  /** True when the incarnation that asks is the member's incarnation. */
  6: required bool member;
}

enum MemberState {
  STARTING = 1,
  SERVING = 2,
  LEAVING = 3
}

struct MemberEntry {
  1: required string host;
  2: required string zone;
  3: required string incarnation;
  4: required MemberState state;
  5: required string control;
  6: required string owner;
  7: required string entry;
  8: required i32 freshness_age_ms;
  /** Absent when the member does not promise. */
  9: optional i32 promise_age_ms;
  10: required i64 promise_epoch;
  11: required i64 released_epoch;
}

struct ObjectVersion {
  1: required string key;
  2: required i64 version;
}

struct GossipMessage {
  1: required string sender;
  2: required string zone;
  3: required list<MemberEntry> members;
  4: required list<ObjectVersion> objects;
  5: required i64 epoch;
  6: optional i64 renewal_age_ms;
  /**
   * In a request, hashes of all descriptions that the sender knows. In an
   * answer, the members among them that need no full entry; at the same
   * position stand the freshness age and the age of the promise for `epoch`
   * (-1 without one), and their released epoch is `epoch`.
   */
  7: optional list<i32> known_members;
  8: optional list<i32> freshness_ages_ms;
  9: optional list<i32> promise_ages_ms;
  /** Hash of all keys and versions; `objects` is empty when it is equal. */
  10: optional i64 objects_digest;
  /**
   * True to ask only for the epoch and the ages of its proofs, and for the
   * members below the receiver in the tree if `known_members` is present.
   */
  11: optional bool evidence_only = false;
  /** Age of the proof that the promises of all members give for `epoch`. */
  12: optional i64 promised_age_ms;
  /** With `evidence_only`: true to get all members in the compact form. */
  13: optional bool all_members = false;
}

struct FetchRequest {
  1: required list<ObjectVersion> newer_than;
}

struct FetchReply {
  1: required list<ViewObject> objects;
}

struct StoreGetRequest {
  1: required string key;
}

struct StoreWatchRequest {
  1: required string key;
  2: required i64 known_version;
  3: required i32 wait_ms;
}

struct StoreListRequest {
  1: required string prefix;
}

struct StoreListReply {
  1: required list<ObjectVersion> objects;
}

struct StorePutRequest {
  1: required string key;
  /** 0 creates the object only if it is absent. */
  2: required i64 expected_version;
  3: required binary value;
}

struct StoreReply {
  /** 0 when the object is absent. */
  1: required i64 version;
  2: optional binary value;
  /** False when a conditional update met another version. */
  3: required bool applied;
}

struct HostListReply {
  1: required i64 as_of_unix_ms;
  2: required binary value;
}

struct StatusReply {
  /** JSON object of facts, each with value, age_ms and source. */
  1: required binary value;
}
