#include "shell/udp.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/address.h"

enum
{
  DATAGRAM_MAX = 16384, /* the changes that one node tells all others (catalog/feed.h) */
  BURST = 64            /* datagrams taken in one turn of the loop */
};

struct GspanUdp
{
  struct ev_loop *loop;
  GspanUdpCallback callback;
  void *user;
  int fd;
  ev_io io;
};

static void
on_readable (struct ev_loop *loop, ev_io *io, int events)
{
  struct GspanUdp *udp = io->data;
  char data[DATAGRAM_MAX];

  (void)loop;
  (void)events;
  for (int i = 0; i < BURST; i++)
    {
      ssize_t len = recv (udp->fd, data, sizeof data, 0);
      struct GspanEvent event = { 0 };

      if (len < 0)
        return;
      event.kind = GSPAN_EVENT_DATAGRAM;
      event.u.datagram.payload = (struct GspanStr){ data, (size_t)len };
      udp->callback (udp->user, &event);
    }
}

static bool
open_socket (struct GspanUdp *udp, const char *address, struct GspanError *error)
{
  struct sockaddr_in local;

  if (!gspan_address_parse (address, &local))
    return gspan_error_set (error, GSPAN_ERROR_INPUT, "%s is no IP:PORT", address);
  udp->fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (udp->fd < 0 || bind (udp->fd, (const struct sockaddr *)&local, sizeof local) < 0)
    return gspan_error_set (error, GSPAN_ERROR_SYSTEM, "can't listen on %s: %s", address,
                            g_strerror (errno));
  return true;
}

struct GspanUdp *
gspan_udp_new (struct ev_loop *loop, const char *address, GspanUdpCallback callback, void *user,
               struct GspanError *error)
{
  struct GspanUdp *udp = g_new0 (struct GspanUdp, 1);

  udp->loop = loop;
  udp->callback = callback;
  udp->user = user;
  udp->fd = -1;
  if (!open_socket (udp, address, error))
    {
      if (udp->fd >= 0)
        close (udp->fd);
      g_free (udp);
      return NULL;
    }
  ev_io_init (&udp->io, on_readable, udp->fd, EV_READ);
  udp->io.data = udp;
  ev_io_start (loop, &udp->io);
  return udp;
}

void
gspan_udp_free (struct GspanUdp *udp)
{
  ev_io_stop (udp->loop, &udp->io);
  close (udp->fd);
  g_free (udp);
}

guint16
gspan_udp_port (const struct GspanUdp *udp)
{
  struct sockaddr_in local;
  socklen_t len = sizeof local;

  if (getsockname (udp->fd, (struct sockaddr *)&local, &len) < 0)
    return 0;
  return ntohs (local.sin_port);
}

void
gspan_udp_send (struct GspanUdp *udp, const struct GspanActionDatagram *datagram)
{
  struct sockaddr_in peer;
  gsize len;
  const void *data = g_bytes_get_data (datagram->payload, &len);

  if (gspan_address_parse (datagram->address, &peer))
    (void)sendto (udp->fd, data, len, 0, (const struct sockaddr *)&peer, sizeof peer);
}
