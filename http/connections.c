#include "http/connections.h"

#include <sys/socket.h>

#include "common/clock.h"

#define BODY_PROGRESS_US (10 * GSPAN_SECOND) /* for the least progress of a body */
#define STALLED_US (GSPAN_SECOND)            /* of a body, where others wait for its room */
#define UNREAD_US (2 * GSPAN_SECOND) /* of an answer, where there are too many connections */

enum
{
  PROGRESS_BYTES = 1024, /* of a body */
  SPARE_DIVISOR = 10     /* of the connections are kept free, so that new ones are accepted */
};

void
gspan_connections_init (struct GspanConnections *connections, guint limit, guint64 read_timeout_us)
{
  connections->items = g_hash_table_new_full (NULL, NULL, g_free, NULL);
  connections->most = MAX (1, limit - MAX (1, limit / SPARE_DIVISOR));
  connections->read_timeout_us = read_timeout_us;
}

void
gspan_connections_finish (struct GspanConnections *connections)
{
  g_hash_table_unref (connections->items);
}

struct GspanConnection *
gspan_connections_add (struct GspanConnections *connections, int fd, guint64 now)
{
  struct GspanConnection *connection = g_new0 (struct GspanConnection, 1);

  connection->fd = fd;
  gspan_connection_begin (connection, false, now);
  g_hash_table_add (connections->items, connection);
  return connection;
}

void
gspan_connections_remove (struct GspanConnections *connections, struct GspanConnection *connection)
{
  g_hash_table_remove (connections->items, connection);
}

void
gspan_connection_begin (struct GspanConnection *connection, bool in_body, guint64 now)
{
  connection->reading_since = now;
  connection->progress_at = now;
  connection->progress_bytes = 0;
  connection->in_body = in_body;
  connection->is_held_back = false;
  connection->is_writing = false;
}

void
gspan_connection_note_body (struct GspanConnection *connection, size_t received, guint64 now)
{
  if (received < connection->progress_bytes + PROGRESS_BYTES)
    return;
  connection->progress_bytes = received;
  connection->progress_at = now;
}

void
gspan_connection_note_answer (struct GspanConnection *connection, bool waits, bool taken,
                              guint64 now)
{
  if (taken || (waits && !connection->is_writing))
    connection->progress_at = now;
  connection->is_writing = waits;
}

/* libmicrohttpd sees the end and drops the connection. */
static void
close_connection (struct GspanConnection *connection)
{
  connection->is_closing = true;
  shutdown (connection->fd, SHUT_RDWR);
}

static bool
is_reading (const struct GspanConnection *connection)
{
  return connection->reading_since != 0 && !connection->is_closing;
}

static bool
is_slow (const struct GspanConnections *connections, const struct GspanConnection *connection,
         guint64 now)
{
  return now - connection->reading_since > connections->read_timeout_us
         || (connection->in_body && !connection->is_held_back
             && now - connection->progress_at > BODY_PROGRESS_US);
}

guint
gspan_connections_close_slow (struct GspanConnections *connections, guint64 now)
{
  guint count = 0;
  GHashTableIter iter;
  gpointer key;

  if (connections->read_timeout_us == 0)
    return 0;
  g_hash_table_iter_init (&iter, connections->items);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct GspanConnection *connection = key;

      if (!is_reading (connection) || !is_slow (connections, connection, now))
        continue;
      count += connection->in_body;
      close_connection (connection);
    }
  return count;
}

/* True where CONNECTION waits for its client, and may be closed for others. */
static bool
may_give_way (const struct GspanConnection *connection, bool bodies_only, guint64 now)
{
  if (bodies_only)
    return is_reading (connection) && connection->in_body && !connection->is_held_back;
  return is_reading (connection)
         || (connection->is_writing && !connection->is_closing
             && now - connection->progress_at > UNREAD_US);
}

/* The one that has waited for its client for longest; NULL where there is none. */
static struct GspanConnection *
least_active (const struct GspanConnections *connections, bool bodies_only, guint64 now)
{
  struct GspanConnection *least = NULL;
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, connections->items);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct GspanConnection *connection = key;

      if (!may_give_way (connection, bodies_only, now))
        continue;
      if (least == NULL || connection->progress_at < least->progress_at)
        least = connection;
    }
  return least;
}

static guint
count_open (const struct GspanConnections *connections)
{
  guint count = 0;
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, connections->items);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    count += !((const struct GspanConnection *)key)->is_closing;
  return count;
}

bool
gspan_connections_close_surplus (struct GspanConnections *connections, guint64 now)
{
  struct GspanConnection *least;

  if (g_hash_table_size (connections->items) <= connections->most
      || count_open (connections) <= connections->most)
    return false;
  least = least_active (connections, false, now);
  if (least != NULL)
    close_connection (least);
  return least != NULL;
}

bool
gspan_connections_close_stalled_body (struct GspanConnections *connections, guint64 now)
{
  struct GspanConnection *least = least_active (connections, true, now);

  if (least == NULL || now - least->progress_at < STALLED_US)
    return false;
  close_connection (least);
  return true;
}
