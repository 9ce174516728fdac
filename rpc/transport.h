#pragma once

#include <ev.h>
#include "board/message.h"
#include "common/error.h"

/* ONC RPC over TCP on a libev loop: a server and a client with one connection to each address. */
struct GspanRpcTransport;

/* RPC_CALL for what peers ask, RPC_DONE for what came of our calls. Pointers are borrowed. */
typedef void (*GspanRpcCallback) (void *user, const struct GspanEvent *event);

/* Listens on ADDRESS ("IP:PORT"; port 0 asks the kernel). NULL with ERROR set on failure. */
struct GspanRpcTransport *gspan_rpc_transport_new (struct ev_loop *loop, const char *address,
                                                   GspanRpcCallback callback, void *user,
                                                   struct GspanError *error);
/*
 * Takes calls from addresses in NETWORKS only, an array of struct GspanNetwork that is borrowed;
 * from all where it is NULL. REFUSED, which may be NULL, is called for each connection closed.
 */
void gspan_rpc_transport_allow (struct GspanRpcTransport *transport, const GArray *networks,
                                void (*refused) (void *user, const char *peer));

void gspan_rpc_transport_free (struct GspanRpcTransport *transport);

guint16 gspan_rpc_transport_port (const struct GspanRpcTransport *transport);

/* Exactly one RPC_DONE follows, never from within this call. */
void gspan_rpc_transport_call (struct GspanRpcTransport *transport, struct GspanRef ref,
                               const struct GspanActionRpc *rpc);

/* Answers the call that an RPC_CALL event named; dropped where its connection is gone. */
void gspan_rpc_transport_reply (struct GspanRpcTransport *transport, guint64 call, GBytes *payload);
