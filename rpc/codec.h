#pragma once

#include <rpc/rpc.h>
#include "common/error.h"
#include "common/str.h"
#include "rpc/gen/gspan.h"

/* ONC RPC messages (RFC 5531) to and from bytes, by libtirpc's XDR. */

enum
{
  GSPAN_RPC_RECORD_MAX = 80 << 20 /* bytes of one message on the wire */
};

/* XDR of VALUE by ENCODE; NULL where it breaks a bound of the protocol. */
GBytes *gspan_xdr_encode (xdrproc_t encode, void *value);

/*
 * Decodes DATA into zeroed VALUE. All of DATA must be used up. The caller releases VALUE with
 * xdr_free (DECODE, VALUE), after a failure too.
 */
bool gspan_xdr_decode (xdrproc_t decode, void *value, struct GspanStr data,
                       struct GspanError *error);

enum GspanRpcKind
{
  GSPAN_RPC_MESSAGE_CALL,
  GSPAN_RPC_MESSAGE_REPLY
};

/* Head of a decoded message. PAYLOAD points into the message. */
struct GspanRpcMessage
{
  enum GspanRpcKind kind;
  guint32 xid;
  guint32 proc;  /* calls */
  bool accepted; /* replies: the call ran and PAYLOAD is its result */
  struct GspanStr payload;
};

bool gspan_rpc_parse (struct GspanStr data, struct GspanRpcMessage *message,
                      struct GspanError *error);

/* Appends a record-marked message to OUT. */
void gspan_rpc_append_call (GString *out, guint32 xid, guint32 proc, struct GspanStr payload);
void gspan_rpc_append_reply (GString *out, guint32 xid, struct GspanStr payload);

/* Appends a record-marked refusal: the call was not run. */
void gspan_rpc_append_refusal (GString *out, guint32 xid, enum accept_stat why);

/*
 * Takes the first whole record off IN into RECORD. False where none is whole yet; ERROR is set too
 * where the bytes are no record of this protocol and the connection has to be closed.
 */
bool gspan_rpc_take_record (GString *in, GString *record, struct GspanError *error);
