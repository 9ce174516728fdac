#include "rpc/transport.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/address.h"
#include "common/clock.h"
#include "rpc/codec.h"

enum
{
  READ_BLOCK = 65536,
  LISTEN_BACKLOG = 512,
  SILENT_MS = 4000, /* unacknowledged bytes for so long break the connection */
  CALL_CONNECTION_SHIFT = 32
};

#define SWEEP_S 0.1

struct Pending
{
  struct GspanRef ref;
  guint32 xid;
  guint64 deadline;
};

struct Connection
{
  struct GspanRpcTransport *transport;
  guint32 number;
  char *address; /* of the peer that we call; NULL on an accepted connection */
  int fd;
  bool connected;
  bool closed;
  ev_io io;
  GString *in;
  GString *out;
  GHashTable *pending; /* xid to struct Pending */
};

struct GspanRpcTransport
{
  struct ev_loop *loop;
  GspanRpcCallback callback;
  void *user;
  int listen_fd;
  const GArray *networks; /* that may call; NULL is all */
  void (*refused) (void *user, const char *peer);
  guint16 port;
  ev_io accept_io;
  ev_timer sweep;
  guint32 next_number;
  guint32 next_xid;
  GHashTable *by_number;  /* number to struct Connection, owns them */
  GHashTable *by_address; /* address to struct Connection */
};

static void
tell_done (struct GspanRpcTransport *transport, struct GspanRef ref, enum GspanRpcResult result,
           struct GspanStr payload)
{
  struct GspanEvent event = { 0 };

  event.kind = GSPAN_EVENT_RPC_DONE;
  event.ref = ref;
  event.u.rpc.result = result;
  event.u.rpc.payload = payload;
  transport->callback (transport->user, &event);
}

static void
connection_free (gpointer data)
{
  struct Connection *connection = data;

  ev_io_stop (connection->transport->loop, &connection->io);
  if (connection->fd >= 0)
    close (connection->fd);
  g_free (connection->address);
  g_string_free (connection->in, TRUE);
  g_string_free (connection->out, TRUE);
  g_hash_table_unref (connection->pending);
  g_free (connection);
}

/* Takes the connection out of use; it is freed by the next sweep. */
static void
connection_close (struct Connection *connection)
{
  struct GspanRpcTransport *transport = connection->transport;

  if (connection->closed)
    return;
  connection->closed = true;
  ev_io_stop (transport->loop, &connection->io);
  if (connection->fd >= 0)
    close (connection->fd);
  connection->fd = -1;
  if (connection->address != NULL
      && g_hash_table_lookup (transport->by_address, connection->address) == connection)
    g_hash_table_remove (transport->by_address, connection->address);
}

static void
fail_pending (struct Connection *connection)
{
  enum GspanRpcResult result = connection->connected ? GSPAN_RPC_LOST : GSPAN_RPC_NOT_SENT;
  GList *list = g_hash_table_get_values (connection->pending);

  g_hash_table_steal_all (connection->pending);
  for (GList *item = list; item != NULL; item = item->next)
    {
      struct Pending *pending = item->data;

      tell_done (connection->transport, pending->ref, result, (struct GspanStr){ NULL, 0 });
      g_free (pending);
    }
  g_list_free (list);
}

static void
set_interest (struct Connection *connection)
{
  struct ev_loop *loop = connection->transport->loop;
  int events = EV_READ;

  if (connection->closed)
    return;
  if (connection->out->len > 0 || !connection->connected)
    events |= EV_WRITE;
  ev_io_stop (loop, &connection->io);
  ev_io_set (&connection->io, connection->fd, events);
  ev_io_start (loop, &connection->io);
}

static void
handle_reply (struct Connection *connection, const struct GspanRpcMessage *message)
{
  gpointer key = GUINT_TO_POINTER (message->xid);
  struct Pending *pending = g_hash_table_lookup (connection->pending, key);
  struct GspanRef ref;

  if (pending == NULL)
    return;
  ref = pending->ref;
  g_hash_table_remove (connection->pending, key);
  tell_done (connection->transport, ref, message->accepted ? GSPAN_RPC_OK : GSPAN_RPC_NOT_SENT,
             message->payload);
}

static void
handle_call (struct Connection *connection, const struct GspanRpcMessage *message)
{
  struct GspanRpcTransport *transport = connection->transport;
  struct GspanEvent event = { 0 };

  event.kind = GSPAN_EVENT_RPC_CALL;
  event.u.rpc.call = (guint64)connection->number << CALL_CONNECTION_SHIFT | message->xid;
  event.u.rpc.proc = message->proc;
  event.u.rpc.payload = message->payload;
  transport->callback (transport->user, &event);
}

static void
handle_records (struct Connection *connection)
{
  GString *record = g_string_new (NULL);
  struct GspanError error = { 0 };

  while (!connection->closed && gspan_rpc_take_record (connection->in, record, &error))
    {
      struct GspanStr data = { record->str, record->len };
      struct GspanRpcMessage message;

      if (!gspan_rpc_parse (data, &message, &error))
        break;
      if (message.kind == GSPAN_RPC_MESSAGE_CALL)
        handle_call (connection, &message);
      else
        handle_reply (connection, &message);
    }
  g_string_free (record, TRUE);
  if (error.code != GSPAN_ERROR_NONE)
    {
      connection_close (connection);
      fail_pending (connection);
    }
}

static bool
read_some (struct Connection *connection)
{
  char block[READ_BLOCK];
  ssize_t count = read (connection->fd, block, sizeof block);

  if (count > 0)
    {
      g_string_append_len (connection->in, block, count);
      return true;
    }
  return count < 0 && (errno == EAGAIN || errno == EINTR);
}

static bool
write_some (struct Connection *connection)
{
  ssize_t count;

  if (connection->out->len == 0)
    return true;
  count = send (connection->fd, connection->out->str, connection->out->len, MSG_NOSIGNAL);
  if (count > 0)
    {
      g_string_erase (connection->out, 0, count);
      return true;
    }
  return errno == EAGAIN || errno == EINTR;
}

static bool
finish_connect (struct Connection *connection)
{
  int problem = 0;
  socklen_t len = sizeof problem;

  getsockopt (connection->fd, SOL_SOCKET, SO_ERROR, &problem, &len);
  if (problem != 0)
    return false;
  connection->connected = true;
  return true;
}

static void
on_connection (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct Connection *connection = watcher->data;
  bool ok = true;

  (void)loop;
  if (!connection->connected)
    ok = finish_connect (connection);
  if (ok && (events & EV_WRITE))
    ok = write_some (connection);
  if (ok && (events & EV_READ))
    {
      ok = read_some (connection);
      handle_records (connection);
    }
  if (!ok && !connection->closed)
    {
      connection_close (connection);
      fail_pending (connection);
      return;
    }
  set_interest (connection);
}

static void
prepare_socket (int fd)
{
  int one = 1;
  unsigned int silent_ms = SILENT_MS;

  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) | O_NONBLOCK);
  fcntl (fd, F_SETFD, FD_CLOEXEC);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silent_ms, sizeof silent_ms);
}

static struct Connection *
connection_new (struct GspanRpcTransport *transport, int fd, const char *address)
{
  struct Connection *connection = g_new0 (struct Connection, 1);

  connection->transport = transport;
  connection->number = ++transport->next_number;
  connection->fd = fd;
  connection->address = g_strdup (address);
  connection->connected = address == NULL;
  connection->in = g_string_new (NULL);
  connection->out = g_string_new (NULL);
  connection->pending = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  ev_init (&connection->io, on_connection);
  connection->io.data = connection;
  g_hash_table_insert (transport->by_number, GUINT_TO_POINTER (connection->number), connection);
  if (address != NULL)
    g_hash_table_insert (transport->by_address, connection->address, connection);
  if (fd >= 0)
    {
      prepare_socket (fd);
      set_interest (connection);
    }
  return connection;
}

static void
refuse_peer (struct GspanRpcTransport *transport, int fd, const struct sockaddr_in *peer)
{
  char text[INET_ADDRSTRLEN] = "";

  close (fd);
  inet_ntop (AF_INET, &peer->sin_addr, text, sizeof text);
  if (transport->refused != NULL)
    transport->refused (transport->user, text);
}

void
gspan_rpc_transport_allow (struct GspanRpcTransport *transport, const GArray *networks,
                           void (*refused) (void *user, const char *peer))
{
  transport->networks = networks;
  transport->refused = refused;
}

static void
on_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct GspanRpcTransport *transport = watcher->data;
  struct sockaddr_in peer = { 0 };
  socklen_t len = sizeof peer;
  int fd = accept (transport->listen_fd, (struct sockaddr *)&peer, &len);

  (void)loop;
  (void)events;
  if (fd < 0)
    return;
  if (transport->networks == NULL || gspan_networks_contain (transport->networks, peer.sin_addr))
    connection_new (transport, fd, NULL);
  else
    refuse_peer (transport, fd, &peer);
}

static struct Connection *
connect_to (struct GspanRpcTransport *transport, const char *address)
{
  struct Connection *connection = g_hash_table_lookup (transport->by_address, address);
  struct sockaddr_in where;
  int fd;

  if (connection != NULL)
    return connection;
  if (!gspan_address_parse (address, &where))
    return connection_new (transport, -1, address);
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  connection = connection_new (transport, fd, address);
  if (connect (fd, (struct sockaddr *)&where, sizeof where) != 0 && errno != EINPROGRESS)
    ev_feed_event (transport->loop, &connection->io, EV_WRITE);
  return connection;
}

void
gspan_rpc_transport_call (struct GspanRpcTransport *transport, struct GspanRef ref,
                          const struct GspanActionRpc *rpc)
{
  struct Connection *connection = connect_to (transport, rpc->address);
  struct Pending *pending = g_new0 (struct Pending, 1);

  pending->ref = ref;
  pending->xid = ++transport->next_xid;
  pending->deadline = gspan_clock_now () + rpc->timeout_us;
  g_hash_table_insert (connection->pending, GUINT_TO_POINTER (pending->xid), pending);
  gspan_rpc_append_call (connection->out, pending->xid, rpc->proc,
                         gspan_str_from_bytes (rpc->payload));
  if (connection->fd < 0)
    pending->deadline = 0;
  else
    set_interest (connection);
}

void
gspan_rpc_transport_reply (struct GspanRpcTransport *transport, guint64 call, GBytes *payload)
{
  gpointer number = GUINT_TO_POINTER ((guint32)(call >> CALL_CONNECTION_SHIFT));
  struct Connection *connection = g_hash_table_lookup (transport->by_number, number);

  if (connection == NULL || connection->closed)
    return;
  if (payload != NULL)
    gspan_rpc_append_reply (connection->out, (guint32)call, gspan_str_from_bytes (payload));
  else
    gspan_rpc_append_refusal (connection->out, (guint32)call, PROC_UNAVAIL);
  set_interest (connection);
}

/* A call that outlives its deadline gives up its connection: what went silent is not used again. */
static void
expire_calls (struct Connection *connection, guint64 now)
{
  GHashTableIter iter;
  gpointer value;
  bool late = false;

  g_hash_table_iter_init (&iter, connection->pending);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    late = late || ((struct Pending *)value)->deadline <= now;
  if (!late)
    return;
  connection_close (connection);
  fail_pending (connection);
}

static void
on_sweep (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct GspanRpcTransport *transport = watcher->data;
  GList *list = g_hash_table_get_values (transport->by_number);
  guint64 now = gspan_clock_now ();

  (void)loop;
  (void)events;
  for (GList *item = list; item != NULL; item = item->next)
    {
      struct Connection *connection = item->data;

      expire_calls (connection, now);
      if (connection->closed)
        g_hash_table_remove (transport->by_number, GUINT_TO_POINTER (connection->number));
    }
  g_list_free (list);
}

static int
open_listener (const struct sockaddr_in *where, guint16 *port)
{
  struct sockaddr_in bound;
  socklen_t len = sizeof bound;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int one = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (const struct sockaddr *)where, sizeof *where) != 0
      || listen (fd, LISTEN_BACKLOG) != 0 || getsockname (fd, (struct sockaddr *)&bound, &len) != 0)
    {
      close (fd);
      return -1;
    }
  *port = ntohs (bound.sin_port);
  return fd;
}

struct GspanRpcTransport *
gspan_rpc_transport_new (struct ev_loop *loop, const char *address, GspanRpcCallback callback,
                         void *user, struct GspanError *error)
{
  struct GspanRpcTransport *transport;
  struct sockaddr_in where;
  guint16 port = 0;
  int fd;

  if (!gspan_address_parse (address, &where))
    {
      gspan_error_set (error, GSPAN_ERROR_INPUT, "%s: not an IP:PORT address", address);
      return NULL;
    }
  fd = open_listener (&where, &port);
  if (fd < 0)
    {
      gspan_error_set (error, GSPAN_ERROR_SYSTEM, "%s: %s", address, g_strerror (errno));
      return NULL;
    }
  transport = g_new0 (struct GspanRpcTransport, 1);
  transport->loop = loop;
  transport->callback = callback;
  transport->user = user;
  transport->listen_fd = fd;
  transport->port = port;
  transport->by_number = g_hash_table_new_full (NULL, NULL, NULL, connection_free);
  transport->by_address = g_hash_table_new (g_str_hash, g_str_equal);
  ev_io_init (&transport->accept_io, on_accept, fd, EV_READ);
  transport->accept_io.data = transport;
  ev_io_start (loop, &transport->accept_io);
  ev_timer_init (&transport->sweep, on_sweep, SWEEP_S, SWEEP_S);
  transport->sweep.data = transport;
  ev_timer_start (loop, &transport->sweep);
  return transport;
}

void
gspan_rpc_transport_free (struct GspanRpcTransport *transport)
{
  ev_io_stop (transport->loop, &transport->accept_io);
  ev_timer_stop (transport->loop, &transport->sweep);
  close (transport->listen_fd);
  g_hash_table_unref (transport->by_address);
  g_hash_table_unref (transport->by_number);
  g_free (transport);
}

guint16
gspan_rpc_transport_port (const struct GspanRpcTransport *transport)
{
  return transport->port;
}
