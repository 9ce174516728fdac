#pragma once

#include <glib.h>
#include <stdbool.h>

/*
 * Clients' connections of one server, from their acceptance on. Answers crowds that connect and
 * send nothing, or very slowly, or don't read what they are sent: connections without progress are
 * closed by time, and the one without progress for longest where there are too many.
 */

struct GspanConnection
{
  int fd;
  guint64 reading_since; /* start of the head or body being read; 0 while a request is at work */
  guint64 progress_at;   /* last time at which enough came of it */
  size_t progress_bytes; /* of the body that had come then */
  bool in_body;
  bool is_held_back; /* the server itself doesn't read it now */
  bool is_writing;   /* some of an answer waits for the client to read it */
  bool is_closing;
};

struct GspanConnections
{
  GHashTable *items;       /* set of struct GspanConnection, owns them */
  guint most;              /* above so many the one without progress for longest is closed */
  guint64 read_timeout_us; /* longest for a head, and for a body; 0 is no limit */
};

/* LIMIT is how many the server accepts at once. */
void gspan_connections_init (struct GspanConnections *connections, guint limit,
                             guint64 read_timeout_us);
void gspan_connections_finish (struct GspanConnections *connections);

struct GspanConnection *gspan_connections_add (struct GspanConnections *connections, int fd,
                                               guint64 now);
void gspan_connections_remove (struct GspanConnections *connections,
                               struct GspanConnection *connection);

/* A request's head, or the next one's, is being read; or its body. */
void gspan_connection_begin (struct GspanConnection *connection, bool in_body, guint64 now);

/* RECEIVED bytes of the body have come so far. */
void gspan_connection_note_body (struct GspanConnection *connection, size_t received, guint64 now);

/* Some of an answer waits for the client, or none does; where some has been TAKEN, it reads. */
void gspan_connection_note_answer (struct GspanConnection *connection, bool waits, bool taken,
                                   guint64 now);

/* Closes those whose head or body takes too long; returns how many. */
guint gspan_connections_close_slow (struct GspanConnections *connections, guint64 now);

/* Closes the one without progress for longest, if there are too many. True where it did. */
bool gspan_connections_close_surplus (struct GspanConnections *connections, guint64 now);

/*
 * Closes the body without progress for longest, to make room for others, if it has made none for
 * some time. True where it did.
 */
bool gspan_connections_close_stalled_body (struct GspanConnections *connections, guint64 now);
