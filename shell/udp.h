#pragma once

#include <ev.h>

#include "board/message.h"
#include "common/error.h"

/* Datagrams of members over UDP on a libev loop. */
struct GspanUdp;

/* DATAGRAM events. Pointers are borrowed. */
typedef void (*GspanUdpCallback) (void *user, const struct GspanEvent *event);

/* Listens on ADDRESS ("IP:PORT"; port 0 asks the kernel). NULL with ERROR set on failure. */
struct GspanUdp *gspan_udp_new (struct ev_loop *loop, const char *address,
                                GspanUdpCallback callback, void *user, struct GspanError *error);
void gspan_udp_free (struct GspanUdp *udp);

guint16 gspan_udp_port (const struct GspanUdp *udp);

/* Sends once, without waiting; what can't be sent is dropped. */
void gspan_udp_send (struct GspanUdp *udp, const struct GspanActionDatagram *datagram);
