#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/address.h"
#include "standin/standin.h"

/*
 * Stand-in for the network between two ends: forwards TCP connections. On SIGUSR1 every connection
 * that is open then goes silent for good: its bytes are taken and dropped, new ones work.
 */

enum
{
  BLOCK = 65536,
  BACKLOG = 256
};

struct Wire
{
  struct GspanStandin *standin;
  struct sockaddr_in target;
  int listen_fd;
  ev_io accept_io;
  guint64 *epoch; /* rises with each SIGUSR1 */
};

struct Link;

struct End
{
  struct Link *link;
  int fd;
  ev_io io;
  GString *out;
  bool input_over;  /* the peer sends no more */
  bool output_over; /* told so to the other side */
};

struct Link
{
  struct Wire *wire;
  guint64 epoch;
  struct End ends[2];
};

static void
link_free (struct Link *link)
{
  for (int i = 0; i < 2; i++)
    {
      ev_io_stop (link->wire->standin->loop, &link->ends[i].io);
      close (link->ends[i].fd);
      g_string_free (link->ends[i].out, TRUE);
    }
  g_free (link);
}

static bool
is_silent (const struct Link *link)
{
  return link->epoch != *link->wire->epoch;
}

static void
set_interest (struct End *end)
{
  struct ev_loop *loop = end->link->wire->standin->loop;
  int events = end->input_over ? 0 : EV_READ;

  if (end->out->len > 0)
    events |= EV_WRITE;
  ev_io_stop (loop, &end->io);
  ev_io_set (&end->io, end->fd, events);
  if (events != 0)
    ev_io_start (loop, &end->io);
}

static bool
read_end (struct End *end, struct End *other)
{
  char block[BLOCK];
  ssize_t count = read (end->fd, block, sizeof block);

  if (count < 0)
    return errno == EAGAIN || errno == EINTR;
  if (count == 0)
    end->input_over = true;
  else if (!is_silent (end->link))
    g_string_append_len (other->out, block, count);
  return true;
}

static bool
write_end (struct End *end)
{
  ssize_t count;

  if (end->out->len == 0)
    return true;
  count = send (end->fd, end->out->str, end->out->len, MSG_NOSIGNAL);
  if (count < 0)
    return errno == EAGAIN || errno == EINTR || errno == ENOTCONN;
  g_string_erase (end->out, 0, count);
  return true;
}

/* Passes the end of input on, except on a silent link: there the other side hears nothing. */
static void
pass_end (struct End *end, struct End *other)
{
  if (!end->input_over || other->output_over || other->out->len > 0 || is_silent (end->link))
    return;
  other->output_over = true;
  shutdown (other->fd, SHUT_WR);
}

static void
on_end (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct End *end = watcher->data;
  struct Link *link = end->link;
  struct End *other = end == &link->ends[0] ? &link->ends[1] : &link->ends[0];
  bool ok = true;

  (void)loop;
  if (events & EV_READ)
    ok = read_end (end, other);
  ok = ok && write_end (end) && write_end (other);
  if (!ok || (link->ends[0].input_over && link->ends[1].input_over))
    {
      link_free (link);
      return;
    }
  pass_end (end, other);
  pass_end (other, end);
  set_interest (end);
  set_interest (other);
}

static void
init_end (struct Link *link, struct End *end, int fd)
{
  end->link = link;
  end->fd = fd;
  end->out = g_string_new (NULL);
  ev_init (&end->io, on_end);
  end->io.data = end;
}

static void
on_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct Wire *wire = watcher->data;
  int fd = accept (wire->listen_fd, NULL, NULL);
  struct Link *link;
  int out;

  (void)loop;
  (void)events;
  if (fd < 0)
    return;
  out = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect (out, (struct sockaddr *)&wire->target, sizeof wire->target) != 0)
    {
      close (out);
      close (fd);
      return;
    }
  fcntl (fd, F_SETFL, O_NONBLOCK);
  fcntl (out, F_SETFL, O_NONBLOCK);
  link = g_new0 (struct Link, 1);
  link->wire = wire;
  link->epoch = *wire->epoch;
  init_end (link, &link->ends[0], fd);
  init_end (link, &link->ends[1], out);
  set_interest (&link->ends[0]);
  set_interest (&link->ends[1]);
}

static void
on_silence (struct ev_loop *loop, ev_signal *watcher, int events)
{
  guint64 *epoch = watcher->data;

  (void)loop;
  (void)events;
  (*epoch)++;
}

/* PAIR is "LISTEN=TARGET". */
static bool
open_wire (struct Wire *wire, struct GspanStandin *standin, const char *pair, guint64 *epoch)
{
  char **parts = g_strsplit (pair, "=", 2);
  struct sockaddr_in where;
  bool ok = g_strv_length (parts) == 2 && gspan_address_parse (parts[0], &where)
            && gspan_address_parse (parts[1], &wire->target);

  wire->standin = standin;
  wire->epoch = epoch;
  wire->listen_fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  ok = ok && bind (wire->listen_fd, (struct sockaddr *)&where, sizeof where) == 0
       && listen (wire->listen_fd, BACKLOG) == 0;
  g_strfreev (parts);
  if (!ok)
    {
      fprintf (stderr, "gspan-standin: %s: can't forward\n", pair);
      return false;
    }
  ev_io_init (&wire->accept_io, on_accept, wire->listen_fd, EV_READ);
  wire->accept_io.data = wire;
  ev_io_start (standin->loop, &wire->accept_io);
  return true;
}

void
gspan_standin_run_wire (struct GspanStandin *standin)
{
  char **pairs = g_strsplit (standin->pairs != NULL ? standin->pairs : "", ",", -1);
  struct Wire *wires = g_new0 (struct Wire, g_strv_length (pairs));
  guint64 epoch = 0;
  ev_signal silence;
  bool ok = true;

  for (guint i = 0; ok && pairs[i] != NULL; i++)
    ok = open_wire (&wires[i], standin, pairs[i], &epoch);
  g_strfreev (pairs);
  ev_signal_init (&silence, on_silence, SIGUSR1);
  silence.data = &epoch;
  ev_signal_start (standin->loop, &silence);
  if (ok)
    ev_run (standin->loop, 0);
  g_free (wires);
}
