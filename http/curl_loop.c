#include "http/curl_loop.h"

#include <glib.h>

enum
{
  TIMER_SLACK_MS = 1 /* libcurl's clock and the loop's may differ by their rounding */
};

struct Socket
{
  struct GspanCurlLoop *curl_loop;
  ev_io io;
  curl_socket_t fd;
};

static void
on_socket_ready (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct Socket *socket = watcher->data;
  int action
      = (events & EV_READ ? CURL_CSELECT_IN : 0) | (events & EV_WRITE ? CURL_CSELECT_OUT : 0);

  (void)loop;
  socket->curl_loop->run (socket->curl_loop->user, socket->fd, action);
}

static int
on_socket (CURL *easy, curl_socket_t fd, int what, void *user, void *socket_data)
{
  struct GspanCurlLoop *curl_loop = user;
  struct Socket *socket = socket_data;
  int events = (what & CURL_POLL_IN ? EV_READ : 0) | (what & CURL_POLL_OUT ? EV_WRITE : 0);

  (void)easy;
  if (what == CURL_POLL_REMOVE)
    {
      if (socket != NULL)
        ev_io_stop (curl_loop->loop, &socket->io);
      g_free (socket);
      curl_multi_assign (curl_loop->multi, fd, NULL);
      return 0;
    }
  if (socket == NULL)
    {
      socket = g_new0 (struct Socket, 1);
      socket->curl_loop = curl_loop;
      socket->fd = fd;
      ev_init (&socket->io, on_socket_ready);
      socket->io.data = socket;
      curl_multi_assign (curl_loop->multi, fd, socket);
    }
  ev_io_stop (curl_loop->loop, &socket->io);
  ev_io_set (&socket->io, fd, events);
  ev_io_start (curl_loop->loop, &socket->io);
  return 0;
}

static void
on_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct GspanCurlLoop *curl_loop = watcher->data;

  (void)loop;
  (void)events;
  curl_loop->run (curl_loop->user, CURL_SOCKET_TIMEOUT, 0);
}

static int
on_timer_change (CURLM *multi, long timeout_ms, void *user)
{
  struct GspanCurlLoop *curl_loop = user;

  (void)multi;
  ev_timer_stop (curl_loop->loop, &curl_loop->timer);
  if (timeout_ms < 0)
    return 0;
  /*
   * libev counts from the time at which the loop last woke up, so a timer that starts after long
   * work would fire early; libcurl then finds nothing to do and doesn't ask for it again.
   */
  ev_now_update (curl_loop->loop);
  ev_timer_set (&curl_loop->timer, (double)(timeout_ms + TIMER_SLACK_MS) / 1000.0, 0);
  ev_timer_start (curl_loop->loop, &curl_loop->timer);
  return 0;
}

void
gspan_curl_loop_init (struct GspanCurlLoop *curl_loop, struct ev_loop *loop, CURLM *multi,
                      GspanCurlLoopRun run, void *user)
{
  *curl_loop = (struct GspanCurlLoop){ .loop = loop, .multi = multi, .run = run, .user = user };
  curl_multi_setopt (multi, CURLMOPT_SOCKETFUNCTION, on_socket);
  curl_multi_setopt (multi, CURLMOPT_SOCKETDATA, curl_loop);
  curl_multi_setopt (multi, CURLMOPT_TIMERFUNCTION, on_timer_change);
  curl_multi_setopt (multi, CURLMOPT_TIMERDATA, curl_loop);
  ev_timer_init (&curl_loop->timer, on_timer, 0, 0);
  curl_loop->timer.data = curl_loop;
}

void
gspan_curl_loop_finish (struct GspanCurlLoop *curl_loop)
{
  ev_timer_stop (curl_loop->loop, &curl_loop->timer);
}
