/**
 * Messages between driftlug processes and the records of the replicated log.
 * Regenerate with scripts/generate-wire. Field numbers are never reused.
 */
namespace cpp driftlug.wire

/** Kinds of rows in the configuration table. */
enum RowKind {
  SERVICE = 1,
  ENDPOINT = 2,
  ROUTE = 3,
  LIMIT = 4,
  RETRY_POLICY = 5,
  SECRET = 6,
  INGRESS = 7,
  NOTE = 8,
  ROLLOUT = 9,
  TENANT = 10,
  EVACUATION = 11
}

/** How far the newest order to move a service to another version has come. */
enum RolloutState {
  /** There was no order yet. */
  STANDING = 1,
  RUNNING = 2,
  COMPLETED = 3,
  ROLLED_BACK = 4
}

/** Roles a process announces when a connection opens. */
enum Role {
  CONTROLLER = 1,
  RELAY = 2,
  NODE = 3,
  TOOL = 4
}

/** Identity of a row: names are unique within one kind. */
struct RowKey {
  1: RowKind kind
  2: string name
}

/** A group of interchangeable endpoints. */
struct ServiceRow {
  1: string retryPolicy
  2: list<string> secrets
  3: i32 maxConnections
  4: string healthPath
  5: string protocol
  6: bool tls
  /** For how long back ends are slow from a start under traffic, in seconds; unset where nothing is said. */
  7: optional double coldStartS
  /** Requests a second that a cold back end bears; unset or 0 where nothing is said. */
  8: optional double coldPerS
}

/** One back end, reached through the node that runs beside it. */
struct EndpointRow {
  1: string serviceName
  2: string address
  3: i32 port
  4: string zone
  5: i32 weight
}

/** A part of a route's traffic, in percent. */
struct WeightedService {
  1: string serviceName
  2: i32 weight
}

/** Matches requests and splits them over services. */
struct RouteRow {
  1: string host
  2: string pathPrefix
  3: string method
  4: list<WeightedService> shares
  5: list<string> requiredServices
  6: list<string> requiredSecrets
  7: bool repeatable
  8: i32 timeoutMs
  9: i32 maxAttempts
  10: i32 targetLatencyMs
  11: i32 priority
  /** Requests have large bodies; a matter of how they are carried, not of whether they may be repeated. */
  12: bool largeBodies
  /** Answers have large bodies. */
  13: bool largeAnswers
  /** Callers need no key where this is true, though there are tenants; unset where nothing is said. */
  14: optional bool keyless
  /** Regions whose back ends may serve the route; any where it is unset. */
  15: optional list<string> regions
}

/** Concurrency bound of every endpoint of a service, enforced at the endpoint's node. */
struct LimitRow {
  1: string serviceName
  2: i32 maxConcurrent
  3: i32 maxQueued
}

/** How often a request may be sent again. */
struct RetryPolicyRow {
  1: i32 maxAttempts
  2: i32 budgetPercent
}

/** Secret material; the value is opaque to driftlug. */
struct SecretRow {
  1: string value
}

/** Limits of what callers may send to any node; 0 leaves a limit at its default. */
struct IngressRow {
  1: i32 maxHeadBytes
  2: i64 maxBodyBytes
  3: i32 headTimeoutMs
  4: i32 idleTimeoutMs
}

/** Text that an operator's tool keeps beside the rows; no node gets it. */
struct NoteRow {
  1: string text
}

/** Those whose requests are told by a key, and what they may send. */
struct TenantRow {
  1: list<string> keys
  /** Goes before the priority of the route; unset where nothing is said. */
  2: optional i32 priority
  /** Requests a second over all nodes; unset or 0 for no limit. */
  3: optional double ratePerS
  /** Requests at once beyond the rate. */
  4: optional double burst
  /** Regions whose back ends may serve the tenant; any where it is unset. */
  5: optional list<string> regions
}

/** Back ends of a zone take no requests while this row stands; named like the zone. */
struct EvacuationRow {
}

/** Which versions of a service's back ends take requests; named like the service. */
struct RolloutRow {
  /** Takes all requests but the share of the target. */
  1: string standing
  /** Of the newest order; empty before the first. */
  2: string target
  3: RolloutState state
  /** Share of the requests that the target gets while the order runs, of a thousand. */
  4: i32 targetPermille
  /**
   * The endpoints of the target that take its share: groupSize of them from groupOffset on, in the order of the hashes
   * of their names; all where the size is 0.
   */
  5: i32 groupOffset
  6: i32 groupSize
  /** Endpoints of the standing version take no new requests, so that they can be stopped. */
  7: bool retiring
  /** Time that the order gave, from its acceptance. */
  8: i64 finishByMs
  /** Time since the acceptance when this row was written. */
  9: i64 elapsedMs
  /** Why the order was decided as it was; empty while it runs. */
  10: string reason
}

/** One row; exactly the body that matches key.kind is set, none when deleted. */
struct Row {
  1: RowKey key
  2: i64 revision
  3: bool deleted
  4: optional ServiceRow serviceRow
  5: optional EndpointRow endpointRow
  6: optional RouteRow routeRow
  7: optional LimitRow limitRow
  8: optional RetryPolicyRow retryPolicyRow
  9: optional SecretRow secretRow
  10: optional IngressRow ingressRow
  11: optional NoteRow noteRow
  12: optional RolloutRow rolloutRow
  13: optional TenantRow tenantRow
  14: optional EvacuationRow evacuationRow
}

/** Order-independent digest over the rows of a slice. */
struct Digest {
  1: i64 low
  2: i64 high
}

/** One change of one row; expectedRevision 0 means that the row must not exist, -1 means any. */
struct Mutation {
  1: Row row
  2: i64 expectedRevision
}

/** An atomic edit; requestId identifies it when it is sent again. */
struct EditCommand {
  1: string requestId
  2: string author
  3: list<Mutation> mutations
  4: i64 baseRevision
  /** The operator's request id, if the edit expired under it and is proposed again under another one. */
  5: optional string retryOf
}

enum EntryKind {
  NOOP = 1,
  EDIT = 2,
  MEMBERS = 3,
  LEDGER = 4,
  RELAY = 5
}

enum LedgerAction {
  CLAIM = 1,
  COMPLETE = 2,
  RELEASE = 3
}

/** What the ledger says to a command. */
enum LedgerVerdict {
  GRANTED = 1,
  COMPLETED = 2,
  CLAIMED = 3,
  MISMATCH = 4,
  UNAVAILABLE = 5
}

struct HttpHeader {
  1: string name
  2: string value
}

/** Answer of a back end, kept for resends of the same request. */
struct StoredAnswer {
  1: i32 httpStatus
  2: list<HttpHeader> headers
  3: binary body
}

/** A change of one idempotency key. */
struct LedgerCommand {
  1: LedgerAction action
  2: string key
  3: i64 fingerprint
  4: string owner
  5: i64 timestampMs
  6: optional StoredAnswer answer
}

/** State of one idempotency key. */
struct LedgerRecord {
  1: string key
  2: i64 fingerprint
  3: string owner
  4: bool completed
  5: i64 claimedAtMs
  6: optional StoredAnswer answer
}

/** One controller of the replicated log; the id is bound to its data folder, the name to its machine. */
struct Member {
  1: string id
  6: string name
  2: string address
  3: i32 framePort
  4: i32 httpPort
  5: bool voting
  7: i32 relayPort
  8: string zone
}

/** A relay that feeds nodes; known to every leader, so that none takes silence for agreement. */
struct RelayRecord {
  1: string id
  2: string zone
  3: bool removed
}

struct LogEntry {
  1: i64 index
  2: i64 term
  3: EntryKind kind
  4: optional EditCommand edit
  5: optional list<Member> members
  6: bool forming
  7: optional LedgerCommand ledger
  8: optional RelayRecord relay
}

/** Term and vote, synced before any answer that depends on them. */
struct HardState {
  1: i64 term
  2: string votedFor
  3: string identity
}

/** One thing wrong with a refused edit. */
struct EditProblem {
  1: RowKey key
  2: string field
  3: string problem
  4: string message
}

/** Outcome of one edit, kept so that a resent edit gets the first answer. */
struct EditOutcome {
  1: string requestId
  2: i64 revision
  3: i32 code
  4: list<EditProblem> problems
  5: list<Row> currentRows
  6: i64 fingerprint
}

/** One accepted edit as history shows it. */
struct HistoryRecord {
  1: i64 revision
  2: string requestId
  3: string author
  4: list<RowKey> keys
}

/** Everything a member of a replicated log needs to continue from a log index. */
struct LogSnapshot {
  1: i64 index
  2: i64 term
  3: list<Member> members
  4: bool forming
  5: binary state
}

/** State of the table's state machine. */
struct TableSnapshot {
  4: list<Row> rows
  5: list<EditOutcome> outcomes
  6: list<HistoryRecord> history
  7: i64 tableRevision
  9: i64 historyFloor
  10: i64 horizon
  11: list<RelayRecord> relays
  12: list<LedgerRecord> ledger
  /** Outcomes of accepted edits that `outcomes` does not hold under the operator's request id. */
  13: list<EditOutcome> displacedOutcomes
}

/** First message on each connection, in both directions. */
struct Hello {
  1: i32 protocolVersion
  2: Role role
  3: string id
  4: string zone
  5: bool blank
  6: string address
  7: i32 framePort
  8: i32 httpPort
  9: i32 relayPort
  10: bool compresses
  /** Service of the back end beside a node; empty where there is none. */
  11: string serviceName
  /** Whether the bodies of calls may follow in pieces, as they are granted. */
  12: bool takesBodyPieces
  /** Whether calls are acknowledged as they arrive, and keep-alives are returned. */
  13: bool acknowledgesCalls
  /** Whether large frames may come as PackedFrame. */
  14: bool unpacksFrames
  /** Whether crash reports are understood. */
  15: bool takesCrashReports
  /** Whether reports of versions are understood. */
  16: bool takesVersionReports
  /** Whether questions about quotas are answered. */
  17: bool grantsQuotas
  /** Whether the bodies of answers may follow in pieces. */
  18: bool takesAnswerPieces
}

/** Load of an endpoint, as the node beside its back end knows it. */
struct EndpointLoad {
  /** Requests that run on the back end. */
  1: i32 running
  /** Requests that wait for a slot, at the node and in the back end. */
  2: i32 waiting
  3: i32 slots
  /** How long work takes there, in percent of the usual time; 100 if the back end does not report it. */
  4: i32 pacePercent
  /** Predicted wait of a further request of the same kind, in milliseconds. */
  5: i32 waitMs
  /** Predicted run time of a request of the same kind, in milliseconds; 0 if unknown. */
  6: i32 runMs
  /** Time since the back end reported its load, in milliseconds. */
  7: i32 ageMs
}

/** Carries nothing: a machine that lost the connection in silence answers it with a reset. */
struct KeepAlive {
}

struct VoteRequest {
  1: i64 term
  2: string candidate
  3: i64 lastIndex
  4: i64 lastTerm
  5: bool preVote
  6: bool transfer
}

struct VoteResponse {
  1: i64 term
  2: bool granted
  3: bool preVote
}

struct AppendRequest {
  1: i64 term
  2: string leader
  3: i64 previousIndex
  4: i64 previousTerm
  5: list<LogEntry> entries
  6: i64 commitIndex
  7: i64 round
}

struct AppendResponse {
  1: i64 term
  2: bool success
  3: i64 matchIndex
  4: i64 round
}

struct SnapshotChunk {
  1: i64 term
  2: string leader
  3: i64 lastIndex
  4: i64 lastTerm
  5: i64 offset
  6: i64 totalBytes
  7: binary data
}

struct SnapshotChunkAck {
  1: i64 term
  2: i64 lastIndex
  3: i64 nextOffset
}

/** Asks the most advanced follower to start an election at once. */
struct TimeoutNow {
  1: i64 term
}

/** Freshness advances only with a quorum of controllers behind it. */
struct Freshness {
  1: i64 term
  2: i64 round
}

struct RelaySubscribe {
  1: i64 revision
  2: Digest digest
  /** The relay reads the table of the controller in its process, and takes no updates. */
  3: bool sharesTable
}

/** Answer of a controller that does not lead. */
struct NotLeader {
  1: string leaderId
}

/** Rows changed in (fromRevision, toRevision]; full replaces everything. */
struct TableUpdate {
  1: i64 fromRevision
  2: i64 toRevision
  3: bool full
  4: list<Row> rows
  5: Digest digest
}

struct ControllerHeartbeat {
  1: i64 revision
  2: Freshness freshness
}

/** Asks for a revision that was committed after the question was asked. */
struct ConfirmRequest {
  1: i64 token
}

struct ConfirmReply {
  1: i64 token
  2: i64 revision
}

struct NodeStatus {
  1: string nodeId
  2: i64 revision
}

/**
 * What a relay knows of its nodes: additions and removals since the last report. A full report lists all that are
 * attached, and those that were lost within the lease of a node.
 */
struct ConvergenceReport {
  1: i64 sequence
  2: i64 inForceRevision
  3: list<string> attached
  4: list<string> detached
  5: list<NodeStatus> lagging
  6: bool full
  7: i64 runningMs
}

struct NodeSubscribe {
  1: list<string> hosts
  2: list<string> services
  3: i64 revision
  4: Digest digest
}

struct SliceUpdate {
  1: i64 fromRevision
  2: i64 toRevision
  3: bool full
  4: list<Row> rows
  5: Digest digest
}

struct SliceApplied {
  1: i64 revision
}

enum SliceRejectReason {
  DIGEST_MISMATCH = 1,
  DANGLING_REFERENCE = 2,
  OLDER_REVISION = 3,
  BASE_MISMATCH = 4
}

struct SliceRejected {
  1: i64 revision
  2: SliceRejectReason reason
}

struct NodeHeartbeat {
  1: Freshness freshness
  /** Time since the relay first received it. A partitioned relay's last one may be newer than a node's, and yet old. */
  2: i32 ageMs
}

/** The sender is overloaded or not ready; ask again after the given time. */
struct RetryLater {
  1: i32 delayMs
}

/** Revision that a relay holds, told to the members of its release group. */
struct RelayHeld {
  1: i64 revision
  2: bool recovered
  3: i64 probe
  4: bool wantsReply
  5: Freshness freshness
}

enum EndpointCondition {
  LIVE = 1,
  DRAINING = 2,
  GONE = 3
}

/** State of an endpoint, announced by the node beside it. */
struct EndpointState {
  5: string serviceName
  1: string endpoint
  2: EndpointCondition condition
  3: i64 incarnation
  4: i64 sequence
  6: string address
  7: i32 port
  8: string zone
  9: i32 slots
  10: i32 coldMs
  /** Of the back end's software; empty where it is not known. */
  11: string version
}

struct EndpointStates {
  1: list<EndpointState> states
}

/** A request that was at work on a back end when it crashed. */
struct CrashedRequest {
  /** 16 bytes, the low half of the hash first, each half with its lowest byte first. */
  1: binary fingerprint
  /** It ran as a suspect, alone of its kind on that back end. */
  2: bool onProbation
  /** It has run well since, or was released by an operator. */
  3: bool cleared
}

/** A back end crashed, under these requests among which one may be to blame. */
struct CrashReport {
  /** Drawn by the node that saw the crash. */
  1: i64 id
  2: string serviceName
  3: string endpoint
  /** How long ago, as far as the sender knows; clocks of machines are not compared. */
  4: i64 ageMs
  5: list<CrashedRequest> requests
}

struct CrashReports {
  1: list<CrashReport> reports
}

/** What a back end did with the requests of one route while a rollout of its service ran. */
struct RouteFigures {
  /** Hash of the route's name. */
  1: i64 route
  /** Answers, with the failed ones. */
  2: i64 answered
  3: i64 failed
  /** Of the answers of warm back ends: how many fell into each bucket of run times, from firstBucket on. */
  4: i32 firstBucket
  5: list<i64> runs
}

/** What an endpoint's node tells of it while a rollout of its service runs; all counts are since the node's start. */
struct VersionReport {
  1: string serviceName
  2: string endpoint
  3: string version
  /** Rises with each report of one life of its node. */
  4: i64 sequence
  /** Table in force at the node. */
  5: i64 revision
  /** Requests that run or wait at the endpoint. */
  6: i32 active
  7: i32 slots
  /** It is slow from its start for so much longer. */
  8: i32 coldMs
  9: list<RouteFigures> routes
  /** Drawn at the start of its node, from where it counts anew. */
  10: i64 life
  /** Answers on all routes to requests that began while over half of the slots were busy; without run times. */
  11: optional RouteFigures underLoad
}

struct VersionReports {
  1: list<VersionReport> reports
}

/** A version that back ends of a service without a rollout row tell. */
struct SeenVersion {
  1: string serviceName
  2: string version
  3: i32 endpoints
}

struct SeenVersions {
  1: list<SeenVersion> versions
}

/** A ledger command on its way from a node over its relay to the leading controller. */
struct LedgerRequest {
  1: i64 requestId
  2: LedgerCommand command
}

struct LedgerReply {
  1: i64 requestId
  2: LedgerVerdict verdict
  3: optional StoredAnswer answer
}

struct CallRequest {
  1: i64 callId
  2: string serviceName
  3: string method
  4: string path
  5: list<HttpHeader> headers
  6: binary body
  7: i32 remainingMs
  8: string idempotencyKey
  9: string endpoint
  10: i32 priority
  11: bool runOnce
  12: i32 targetLatencyMs
  /** How long the caller had waited before this call, with earlier ones that were refused; 0 when it is not known. */
  13: i32 waitedMs
  /** Size of a body that follows in pieces; 0 where the body is in this message. */
  14: i64 bodyBytes
  /** The sender knows of a back end that crashed while it ran the same request. */
  15: bool suspect
  /** Hash of the route's name, while a rollout of the service runs. */
  16: optional i64 route
  /** Rate limit of the back end that the sender knows from its responses, in requests per second. */
  17: optional double knownRatePerS
  /** Whether the sender has another endpoint for the call, so that it need not wait for the rate limit of this one. */
  18: bool hasAlternative
  /** Reservation that an earlier refusal of the same request named; 0 for none. */
  19: i64 reservationId
  /** Tenant of the caller; empty where callers need no key. */
  20: string tenant
  /** Whether the route has large answers; their bodies may follow in pieces. */
  21: bool largeAnswer
}

/** How a call ended, as seen by the side that answers it. */
enum CallOutcome {
  COMPLETED = 1,
  NOT_RUN = 2,
  UNKNOWN = 3
}

struct CallResponse {
  1: i64 callId
  2: CallOutcome outcome
  3: i32 httpStatus
  4: list<HttpHeader> headers
  5: binary body
  6: i32 errorCode
  7: i32 inFlight
  8: i32 retryAfterMs
  /** With OVERLOADED: time for which the asking node is to leave the endpoint alone; 0 when it may choose. */
  9: i32 fullForMs
  /** Whether only calls with large bodies are to leave the endpoint alone, since its link is full. */
  10: bool fullForBodies
  /** With BACKEND_CRASHED: the crash that ended the run. */
  11: i64 crashId
  /** With BACKEND_CRASHED: whether the run was on probation. */
  12: bool onProbation
  /** Unset if the back end does not report its load. */
  13: optional EndpointLoad load
  /** Size of a body that follows in pieces; 0 where the body is in this message. */
  14: i64 bodyBytes
  /** With OVERLOADED: a place kept for this request; 0 for none. */
  15: i64 reservationId
  /** Time until the place is free, in milliseconds. */
  16: i32 reservedInMs
}

struct CallCancel {
  1: i64 callId
}

/** Asks that a call which has not begun to run be answered as not run; one that runs is let finish. */
struct CallWithdraw {
  1: i64 callId
}

/** A call has arrived, and its answer will take a while. */
struct CallAccepted {
  1: i64 callId
  /** Unset if the back end does not report its load. */
  2: optional EndpointLoad load
  /** Whether calls of this kind were found to be made by back ends. */
  3: bool nested
}

/** Allows the sender of a call to send its body up to this size. */
struct CallBodyGrant {
  1: i64 callId
  2: i64 upToBytes
}

/** The next piece of the body of a call. */
struct CallBodyPiece {
  1: i64 callId
  2: binary data
}

/** The next piece of the body of an answer. */
struct CallAnswerPiece {
  1: i64 callId
  2: binary data
}

/** Allows the sender of an answer to send its body up to this size. */
struct CallAnswerCredit {
  1: i64 callId
  2: i64 upToBytes
}

/** Requests of a tenant that wait for a permit. */
struct QuotaDemand {
  1: string tenant
  2: i32 count
  /** How long the requests can still wait for a permit, in milliseconds; 0 if they are not to be deferred. */
  3: i32 maxWaitMs
}

/** Asks for permits; from a node to its relay, from a relay to the leader. */
struct QuotaAsk {
  1: list<QuotaDemand> demands
}

/** What became of requests that waited, those that had waited longest first. */
struct QuotaDecision {
  1: string tenant
  2: i32 granted
  /** Beyond the limit; these follow those that were granted. */
  3: i32 denied
  /** After how long another one may be granted, where some were denied. */
  4: i32 retryAfterMs
  /** Added to retryAfterMs for each further denied request, so that they do not return together. */
  5: i32 retryAfterStepMs
  /** Not decided yet; these follow those that were denied, and are asked for again after askAgainMs. */
  6: i32 deferred
  7: i32 askAgainMs
}

struct QuotaGrant {
  1: list<QuotaDecision> decisions
}

/** The members of the replicated log as a controller knows them, for those that look for them. */
struct MemberList {
  1: list<Member> members
}

/** Where to find a relay. */
struct RelayAddress {
  1: string address
  2: i32 port
  3: string zone
}

/** All relays that a relay knows, itself among them. */
struct RelayList {
  1: list<RelayAddress> relays
}

/** Another frame, from its type byte on, deflated by itself, so that it is packed once for all who get it. */
struct PackedFrame {
  1: binary deflated
}

/** Everything behind this frame, in its direction, is one raw deflate stream. */
struct StartCompression {
}
