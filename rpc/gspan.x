/* Calls between gentianspan's own processes. */

const GSPAN_MAX_NAME = 256;
const GSPAN_MAX_CURSOR = 262144;
const GSPAN_MAX_BODY = 67108864;

enum gspan_status {
  GSPAN_STATUS_OK = 0,
  GSPAN_STATUS_NOT_OWNER = 1,
  GSPAN_STATUS_NOT_READY = 2,
  GSPAN_STATUS_REFUSED = 3
};

/* A trainer asks for the batch after the one that CURSOR proves it took. */
struct gspan_pull_args {
  string attachment<GSPAN_MAX_NAME>;
  unsigned hyper weight;
  unsigned hyper fence;
  opaque cursor<GSPAN_MAX_CURSOR>;
};

/* RECORD is the version of the attachment's record that the batch was built under. */
struct gspan_pull_res {
  gspan_status status;
  unsigned hyper fence;
  unsigned hyper record;
  string detail<GSPAN_MAX_NAME>;
  opaque body<GSPAN_MAX_BODY>;
};

/*
 * A process asks for the records that changed after SINCE. Answered at once where there are some or
 * where DIGEST differs, otherwise when there are or after WAIT_MS.
 */
struct gspan_changes_args {
  unsigned hyper since;
  unsigned hyper digest;
  unsigned hyper vms_digest;
  unsigned hyper wait_ms;
};

enum gspan_changes_kind {
  GSPAN_CHANGES_DELTA = 0,
  GSPAN_CHANGES_LIST = 1,
  GSPAN_CHANGES_SAME = 2
};

/* VMS is empty where the caller's list has the same digest. */
struct gspan_changes_res {
  gspan_status status;
  gspan_changes_kind kind;
  unsigned hyper revision;
  opaque objects<GSPAN_MAX_BODY>;
  opaque vms<GSPAN_MAX_BODY>;
};

const GSPAN_MAX_MEMBER_TEXT = 64;
const GSPAN_MAX_GOSSIP_MEMBERS = 6;

enum gspan_member_state {
  GSPAN_MEMBER_ALIVE = 0,
  GSPAN_MEMBER_SUSPECT = 1,
  GSPAN_MEMBER_DEAD = 2
};

struct gspan_member {
  string name<GSPAN_MAX_MEMBER_TEXT>;
  string zone<GSPAN_MAX_MEMBER_TEXT>;
  string udp<GSPAN_MAX_MEMBER_TEXT>;
  string rpc<GSPAN_MAX_MEMBER_TEXT>;
  unsigned hyper incarnation;
  gspan_member_state state;
};

enum gspan_gossip_kind {
  GSPAN_GOSSIP_PING = 0,
  GSPAN_GOSSIP_ACK = 1,
  GSPAN_GOSSIP_PING_REQUEST = 2
};

/* One datagram between members. TARGET is who a PING_REQUEST wants pinged, an address. */
struct gspan_gossip {
  gspan_gossip_kind kind;
  unsigned int sequence;
  string target<GSPAN_MAX_MEMBER_TEXT>;
  gspan_member sender;
  unsigned hyper complete;
  unsigned hyper digest;
  gspan_member members<GSPAN_MAX_GOSSIP_MEMBERS>;
};

const GSPAN_MAX_PATH = 8192;

/* A call under an idempotency key, for the owner of the key's slot. Asking again is harmless. */
struct gspan_keyed_args {
  string request_id<GSPAN_MAX_NAME>;
  string caller_id<GSPAN_MAX_NAME>;
  string key<GSPAN_MAX_NAME>;
  string route<GSPAN_MAX_NAME>;
  string method<GSPAN_MAX_NAME>;
  string path<GSPAN_MAX_PATH>;
  string content_type<GSPAN_MAX_NAME>;
  unsigned hyper timeout_us;
  opaque body<GSPAN_MAX_BODY>;
};

/* STATUS other than OK says that the owner isn't one (yet) and that this asking ran nothing. */
struct gspan_keyed_res {
  gspan_status status;
  unsigned outcome;
  unsigned http_status;
  string content_type<GSPAN_MAX_NAME>;
  opaque body<GSPAN_MAX_BODY>;
};

program GSPAN_PROGRAM {
  version GSPAN_V1 {
    gspan_pull_res GSPAN_PULL(gspan_pull_args) = 1;
    gspan_changes_res GSPAN_CHANGES(gspan_changes_args) = 30;
    gspan_keyed_res GSPAN_KEYED(gspan_keyed_args) = 10;
  } = 1;
} = 0x20004753;
