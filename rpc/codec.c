#include "rpc/codec.h"

#include <arpa/inet.h>
#include <string.h>

enum
{
  HEAD_MAX = 1024,
  LAST_FRAGMENT = 1U << 31
};

GBytes *
gspan_xdr_encode (xdrproc_t encode, void *value)
{
  unsigned long size = xdr_sizeof (encode, value);
  char *data;
  XDR xdrs;

  if (size == 0)
    return NULL;
  data = g_malloc (size);
  xdrmem_create (&xdrs, data, (u_int)size, XDR_ENCODE);
  if (!encode (&xdrs, value))
    {
      g_free (data);
      return NULL;
    }
  return g_bytes_new_take (data, xdr_getpos (&xdrs));
}

bool
gspan_xdr_decode (xdrproc_t decode, void *value, struct GspanStr data, struct GspanError *error)
{
  XDR xdrs;

  xdrmem_create (&xdrs, (char *)data.data, (u_int)data.len, XDR_DECODE);
  if (!decode (&xdrs, value))
    return gspan_error_set (error, GSPAN_ERROR_INPUT, "malformed XDR near byte %u of %zu",
                            xdr_getpos (&xdrs), data.len);
  if (xdr_getpos (&xdrs) != data.len)
    return gspan_error_set (error, GSPAN_ERROR_INPUT, "%zu bytes of XDR left over at byte %u",
                            data.len - xdr_getpos (&xdrs), xdr_getpos (&xdrs));
  return true;
}

/* The payload is decoded by whoever knows its type. */
static bool_t
decode_nothing (XDR *xdrs, void *value)
{
  (void)xdrs;
  (void)value;
  return TRUE;
}

static bool
check_call (const struct rpc_msg *msg, struct GspanError *error)
{
  if (msg->rm_call.cb_prog != GSPAN_PROGRAM || msg->rm_call.cb_vers != GSPAN_V1)
    return gspan_error_set (error, GSPAN_ERROR_INPUT, "call of program %u version %u",
                            (guint)msg->rm_call.cb_prog, (guint)msg->rm_call.cb_vers);
  return true;
}

static bool
parse_body (XDR *xdrs, struct rpc_msg *msg, struct GspanStr data, struct GspanRpcMessage *message,
            struct GspanError *error)
{
  guint32 direction;

  memcpy (&direction, data.data + sizeof (guint32), sizeof direction);
  message->kind = ntohl (direction) == CALL ? GSPAN_RPC_MESSAGE_CALL : GSPAN_RPC_MESSAGE_REPLY;
  if (message->kind == GSPAN_RPC_MESSAGE_CALL)
    {
      if (!xdr_callmsg (xdrs, msg))
        return gspan_error_set (error, GSPAN_ERROR_INPUT, "malformed RPC call head");
      message->proc = (guint32)msg->rm_call.cb_proc;
      message->xid = msg->rm_xid;
      return check_call (msg, error);
    }
  msg->acpted_rply.ar_results.proc = (xdrproc_t)decode_nothing;
  if (!xdr_replymsg (xdrs, msg))
    return gspan_error_set (error, GSPAN_ERROR_INPUT, "malformed RPC reply head");
  message->accepted = msg->rm_reply.rp_stat == MSG_ACCEPTED && msg->acpted_rply.ar_stat == SUCCESS;
  message->xid = msg->rm_xid;
  return true;
}

bool
gspan_rpc_parse (struct GspanStr data, struct GspanRpcMessage *message, struct GspanError *error)
{
  char credential[MAX_AUTH_BYTES];
  char verifier[MAX_AUTH_BYTES];
  struct rpc_msg msg;
  guint used;
  XDR xdrs;

  memset (message, 0, sizeof *message);
  if (data.len < 2 * sizeof (guint32))
    return gspan_error_set (error, GSPAN_ERROR_INPUT, "RPC message of %zu bytes", data.len);
  memset (&msg, 0, sizeof msg);
  msg.rm_call.cb_cred.oa_base = credential;
  msg.rm_call.cb_verf.oa_base = verifier;
  xdrmem_create (&xdrs, (char *)data.data, (u_int)data.len, XDR_DECODE);
  if (ntohl (*(const guint32 *)(const void *)(data.data + sizeof (guint32))) != CALL)
    {
      memset (&msg, 0, sizeof msg);
      msg.acpted_rply.ar_verf.oa_base = verifier;
    }
  if (!parse_body (&xdrs, &msg, data, message, error))
    return false;
  used = xdr_getpos (&xdrs);
  message->payload = (struct GspanStr){ data.data + used, data.len - used };
  return true;
}

static void
append_record (GString *out, const char *head, guint head_len, struct GspanStr payload)
{
  guint32 mark = htonl ((guint32)LAST_FRAGMENT | (guint32)(head_len + payload.len));

  g_string_append_len (out, (const char *)&mark, sizeof mark);
  g_string_append_len (out, head, head_len);
  g_string_append_len (out, payload.data, (gssize)payload.len);
}

void
gspan_rpc_append_call (GString *out, guint32 xid, guint32 proc, struct GspanStr payload)
{
  char head[HEAD_MAX];
  struct rpc_msg msg;
  XDR xdrs;

  memset (&msg, 0, sizeof msg);
  msg.rm_xid = xid;
  msg.rm_direction = CALL;
  msg.rm_call.cb_rpcvers = RPC_MSG_VERSION;
  msg.rm_call.cb_prog = GSPAN_PROGRAM;
  msg.rm_call.cb_vers = GSPAN_V1;
  msg.rm_call.cb_proc = proc;
  xdrmem_create (&xdrs, head, sizeof head, XDR_ENCODE);
  xdr_callmsg (&xdrs, &msg);
  append_record (out, head, xdr_getpos (&xdrs), payload);
}

static void
append_reply (GString *out, guint32 xid, enum accept_stat stat, struct GspanStr payload)
{
  char head[HEAD_MAX];
  struct rpc_msg msg;
  XDR xdrs;

  memset (&msg, 0, sizeof msg);
  msg.rm_xid = xid;
  msg.rm_direction = REPLY;
  msg.rm_reply.rp_stat = MSG_ACCEPTED;
  msg.acpted_rply.ar_stat = stat;
  msg.acpted_rply.ar_results.proc = (xdrproc_t)decode_nothing;
  xdrmem_create (&xdrs, head, sizeof head, XDR_ENCODE);
  xdr_replymsg (&xdrs, &msg);
  append_record (out, head, xdr_getpos (&xdrs), payload);
}

void
gspan_rpc_append_reply (GString *out, guint32 xid, struct GspanStr payload)
{
  append_reply (out, xid, SUCCESS, payload);
}

void
gspan_rpc_append_refusal (GString *out, guint32 xid, enum accept_stat why)
{
  append_reply (out, xid, why, (struct GspanStr){ NULL, 0 });
}

bool
gspan_rpc_take_record (GString *in, GString *record, struct GspanError *error)
{
  size_t offset = 0;
  bool last = false;

  g_string_truncate (record, 0);
  while (!last)
    {
      guint32 mark;
      size_t len;

      if (in->len - offset < sizeof mark)
        return false;
      memcpy (&mark, in->str + offset, sizeof mark);
      mark = ntohl (mark);
      last = (mark & (guint32)LAST_FRAGMENT) != 0;
      len = mark & ~(guint32)LAST_FRAGMENT;
      if (record->len + len > GSPAN_RPC_RECORD_MAX)
        return gspan_error_set (error, GSPAN_ERROR_INPUT, "RPC record over %d bytes",
                                GSPAN_RPC_RECORD_MAX);
      if (in->len - offset - sizeof mark < len)
        return false;
      g_string_append_len (record, in->str + offset + sizeof mark, (gssize)len);
      offset += sizeof mark + len;
    }
  g_string_erase (in, 0, (gssize)offset);
  return true;
}
