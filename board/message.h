#pragma once

#include "common/headers.h"
#include "common/line.h"
#include "common/log.h"
#include "store/store.h"

/*
 * Events come in from the shell, actions go out to it. A controller is a function of the board, one
 * event and the time; it appends its actions to an outbox and never touches the outside itself.
 */

/* The controller that started an operation; its completion goes back to the same one. */
enum GspanOwner
{
  GSPAN_OWNER_RECORDS,
  GSPAN_OWNER_VMS,
  GSPAN_OWNER_MEMBERS,
  GSPAN_OWNER_LEASES,
  GSPAN_OWNER_STATUS,
  GSPAN_OWNER_DESK,
  GSPAN_OWNER_BATCH_PULLS,
  GSPAN_OWNER_ROLLOUT,
  GSPAN_OWNER_CONTROL,
  GSPAN_OWNER_KEYED_CALLS,
  GSPAN_OWNER_KEY_PARTITIONS,
  GSPAN_OWNER_CATALOG,
  GSPAN_OWNER_GATEWAY,
  GSPAN_OWNER_JOBS,
  GSPAN_OWNER_RUNS,
  GSPAN_OWNER_REWARDS,
  GSPAN_OWNER_WEIGHTS,
  GSPAN_OWNER_VERDICTS,
  GSPAN_OWNER_LINKS,
  GSPAN_OWNER_RELAY,
  GSPAN_OWNER_STREAMS,
  GSPAN_OWNER_DUTIES
};

/* Names one operation: ID is chosen by OWNER and unique among its open operations. */
struct GspanRef
{
  enum GspanOwner owner;
  guint64 id;
};

/* How an exchange with an upstream ended. */
enum GspanHttpResult
{
  GSPAN_HTTP_COMPLETE, /* the answer is whole: its length or its end mark says so */
  GSPAN_HTTP_NOT_SENT, /* no byte of the request left this process */
  GSPAN_HTTP_LOST,     /* bytes left, and no whole answer came */
  GSPAN_HTTP_TIMEOUT,  /* as LOST, given up at the timeout */
  GSPAN_HTTP_TOO_LONG  /* as LOST, broken off at a bound: bytes without end are no answer */
};

/* How an operation on a platform object ended. */
enum GspanObjectResult
{
  GSPAN_OBJECT_OK,
  GSPAN_OBJECT_CONFLICT,    /* the expected version is not the current one */
  GSPAN_OBJECT_MISSING,     /* there is no such object */
  GSPAN_OBJECT_GAP,         /* a watch can't go on from that revision */
  GSPAN_OBJECT_UNAVAILABLE, /* refused or never sent: surely not done */
  GSPAN_OBJECT_UNKNOWN      /* sent, answer lost: done or not */
};

enum GspanObjectOp
{
  GSPAN_OBJECT_GET,
  GSPAN_OBJECT_PUT,
  GSPAN_OBJECT_LIST,
  GSPAN_OBJECT_WATCH,
  GSPAN_OBJECT_FETCH /* any other document of the platform, named by its path */
};

enum GspanRpcResult
{
  GSPAN_RPC_OK,
  GSPAN_RPC_NOT_SENT,
  GSPAN_RPC_LOST
};

enum GspanEventKind
{
  GSPAN_EVENT_TICK,
  GSPAN_EVENT_DRAIN,
  GSPAN_EVENT_REQUEST,
  GSPAN_EVENT_CALLER_DISCONNECTED,
  GSPAN_EVENT_HTTP_HEAD,
  GSPAN_EVENT_HTTP_DATA,
  GSPAN_EVENT_HTTP_DONE,
  GSPAN_EVENT_OBJECT_DONE,
  GSPAN_EVENT_RPC_CALL,
  GSPAN_EVENT_RPC_DONE,
  GSPAN_EVENT_DATAGRAM,
  GSPAN_EVENT_STORE_DONE,
  GSPAN_EVENT_RELAY_REQUEST,    /* of another node, for a replica that it can't reach */
  GSPAN_EVENT_RELAY_SENDER_GONE /* that node has gone or given up */
};

/* A caller's whole request. */
struct GspanEventRequest
{
  guint64 request;
  struct GspanStr method;
  struct GspanStr path; /* with its query */
  const struct GspanHeaders *headers;
  GBytes *body;
  const char *firm;  /* that the caller's token names; NULL where callers aren't checked */
  bool body_dropped; /* BODY isn't what the caller sent: the request may only be refused */
};

/* What says where the body of an answer ends. */
enum GspanBodyFraming
{
  GSPAN_BODY_FRAMING_NONE, /* no head, or an answer without a body */
  GSPAN_BODY_FRAMING_LENGTH,
  GSPAN_BODY_FRAMING_CHUNKED,
  GSPAN_BODY_FRAMING_CLOSE /* the end of the connection */
};

/* Whether an answer names the request that it belongs to. */
enum GspanEcho
{
  GSPAN_ECHO_NOT_ASKED,
  GSPAN_ECHO_SAME,
  GSPAN_ECHO_MISSING,
  GSPAN_ECHO_OTHER
};

/* What came in on the connection of an exchange; for log lines. */
struct GspanAnswerTrace
{
  bool used_connection; /* it had carried other requests before */
  bool head_ended;      /* the empty line after the head came */
  enum GspanBodyFraming framing;
  guint64 declared_bytes; /* LENGTH only */
  guint64 body_bytes;     /* received */
  enum GspanEcho echo;
  bool foreign; /* what came belongs to another request; the exchange ended as lost */
};

/* STATUS is 0 where no status line came. BODY is empty for a streamed exchange. */
struct GspanEventHttp
{
  enum GspanHttpResult result; /* DONE only */
  int status;
  const struct GspanHeaders *headers;
  GBytes *body;
  guint64 elapsed_us; /* DONE only */
  guint send_count;   /* DONE only: times that the request went out, libcurl's own repeat too */
  struct GspanAnswerTrace trace; /* HEAD (of it, what the head tells) and DONE */
  bool relayed;                  /* it went through another node */
  bool failed_at_relay; /* DONE only: at that node, or on the way to it; says nothing of the
                           upstream */
};

struct GspanEventObject
{
  enum GspanObjectResult result;
  guint64 revision; /* object version, or the store's revision for LIST and WATCH */
  GBytes *body;
};

struct GspanEventRpc
{
  guint64 call; /* CALL: names the call in the reply action */
  guint32 proc;
  enum GspanRpcResult result; /* DONE only */
  struct GspanStr payload;    /* XDR of the arguments or of the result */
};

/* A datagram of another member. */
struct GspanEventDatagram
{
  struct GspanStr payload;
};

/* What came of a call to the platform's store. CALL is as it was sent. */
struct GspanEventStore
{
  const struct GspanStoreCall *call;
  const struct GspanStoreReply *reply;
};

/* All that an event points to is borrowed until the controller returns. */
struct GspanEvent
{
  enum GspanEventKind kind;
  struct GspanRef ref; /* HTTP, OBJECT and RPC_DONE */
  union
  {
    struct GspanEventRequest request;
    guint64 disconnected_request; /* the request whose caller, or sending node, went away */
    struct GspanEventHttp http;
    struct GspanEventObject object;
    struct GspanEventRpc rpc;
    struct GspanEventDatagram datagram;
    struct GspanEventStore store;
  } u;
};

/* Adds what ANSWER looked like on its connection to LINE. */
void gspan_answer_log (const struct GspanEventHttp *answer, struct GspanLine *line);

enum GspanActionKind
{
  GSPAN_ACTION_REPLY,       /* whole answer to a caller */
  GSPAN_ACTION_REPLY_BEGIN, /* status and headers of a streamed answer */
  GSPAN_ACTION_REPLY_DATA,
  GSPAN_ACTION_REPLY_END,
  GSPAN_ACTION_REPLY_ABORT, /* breaks the stream, so that the caller can't take it for whole */
  GSPAN_ACTION_HTTP,
  GSPAN_ACTION_HTTP_CANCEL,
  GSPAN_ACTION_OBJECT,
  GSPAN_ACTION_RPC,
  GSPAN_ACTION_RPC_REPLY,
  GSPAN_ACTION_DATAGRAM,
  GSPAN_ACTION_STORE,
  GSPAN_ACTION_LOG
};

struct GspanActionReply
{
  guint64 request;
  int status;
  struct GspanHeaders headers;
  GBytes *body;     /* may be NULL */
  bool to_node;     /* answers a request of another node, not a caller's */
  bool until_close; /* ends with its connection, as the upstream's did: that may have been cut */
};

struct GspanActionHttp
{
  char *method;
  char *url;
  struct GspanHeaders headers;
  GBytes *body; /* may be NULL */
  guint64 timeout_us;
  guint64 connect_timeout_us; /* 0 is the client's own */
  guint64 start_deadline_us;  /* not begun after this time of the board's clock; 0 is no limit */
  guint64 idle_timeout_us;    /* longest pause between answer bytes; 0 is no limit */
  bool new_connection;        /* never on a used connection: the request may not run twice */
  bool close_after;           /* the connection isn't kept */
  bool send_once;             /* may take a used connection, but is never sent a second time */
  bool stream;                /* HEAD and DATA events as they come */
  bool http_framing_only;     /* whole by HTTP's own rules: no end mark is asked of a stream */
  bool from_platform;         /* the platform's answer, collected apart from all others */
  bool connect_only;          /* ends once the connection stands, without a request */
  bool tcp_keepalive;    /* keep-alive probes every second find a connection that went silent */
  char *required_header; /* "Name: value" that the answer's head must hold; NULL checks nothing */
  char *echo_exempt_header; /* name of a header that marks answers which need not hold it, those of
                               a node in between itself; NULL exempts none */
};

struct GspanActionObject
{
  enum GspanObjectOp op;
  char *path; /* "KIND/NAME", "KIND", or a platform path for FETCH */
  guint64 revision;
  GBytes *body;
};

struct GspanActionRpc
{
  char *address; /* "IP:PORT" */
  guint64 call;  /* RPC_REPLY only */
  guint32 proc;
  GBytes *payload;
  guint64 timeout_us;
};

/* May be lost, doubled or reordered on its way. */
struct GspanActionDatagram
{
  char *address; /* "IP:PORT" */
  GBytes *payload;
};

struct GspanActionLog
{
  enum GspanPriority priority;
  const char *module;
  char *text;
};

struct GspanAction
{
  enum GspanActionKind kind;
  struct GspanRef ref;
  union
  {
    struct GspanActionReply reply;
    struct GspanActionHttp http;
    struct GspanActionObject object;
    struct GspanActionRpc rpc;
    struct GspanActionDatagram datagram;
    struct GspanStoreCall store;
    struct GspanActionLog log;
  } u;
};

/* Actions in the order in which they are to be done. Owns them until they are cleared. */
struct GspanOutbox
{
  GPtrArray *actions;
};

void gspan_outbox_init (struct GspanOutbox *outbox);
void gspan_outbox_finish (struct GspanOutbox *outbox);
void gspan_outbox_clear (struct GspanOutbox *outbox);

/* Appends an empty action of KIND, its headers ready, for the caller to fill in. */
struct GspanAction *gspan_outbox_add (struct GspanOutbox *outbox, enum GspanActionKind kind,
                                      struct GspanRef ref);

/* Whole answer with a body of JSON text. */
struct GspanAction *gspan_outbox_reply_json (struct GspanOutbox *outbox, guint64 request,
                                             int status, const char *json);

/* Answer {"error": {"field": FIELD, "message": MESSAGE}}. */
struct GspanAction *gspan_outbox_reply_error (struct GspanOutbox *outbox, guint64 request,
                                              int status, const char *field, const char *message);

/* Operation on a platform object. Takes over a reference to BODY, which may be NULL. */
void gspan_outbox_object (struct GspanOutbox *outbox, struct GspanRef ref, enum GspanObjectOp op,
                          const char *path, guint64 revision, GBytes *body);

/* Call to the platform's store, with names left empty for the caller to fill in. */
struct GspanStoreCall *gspan_outbox_store (struct GspanOutbox *outbox, struct GspanRef ref,
                                           enum GspanStoreOp op, const char *kind,
                                           const char *name);

/* Takes over LINE. MODULE has static storage. */
void gspan_outbox_log (struct GspanOutbox *outbox, const char *module, enum GspanPriority priority,
                       struct GspanLine *line);
