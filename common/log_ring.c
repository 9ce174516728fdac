#include "common/log_ring.h"

#include <errno.h>
#include <limits.h>
#include <poll.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "common/clock.h"

enum
{
  PENDING_MAX = 256 * 1024, /* bytes that wait for a slow reader */
  FLUSH_AT = 8 * 1024       /* bytes that are written without waiting for the next flush */
};

void
gspan_log_ring_init (struct GspanLogRing *ring, int fd, enum GspanPriority level, guint lines_per_s)
{
  *ring = (struct GspanLogRing){ 0 };
  ring->fd = fd;
  ring->level = level;
  ring->lines_per_s = lines_per_s;
  ring->pending = g_string_new (NULL);
}

void
gspan_log_ring_finish (struct GspanLogRing *ring)
{
  gspan_log_ring_flush (ring);
  g_string_free (ring->pending, TRUE);
}

static void
append (struct GspanLogRing *ring, const char *module, enum GspanPriority priority,
        const char *text)
{
  static const char *const levels[]
      = { "emergency", "alert", "critical", "error", "warning", "notice", "info", "debug" };
  struct timespec now;
  char stamp[32];
  struct tm utc;

  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &utc);
  strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%S", &utc);
  g_string_append_printf (ring->pending, "time=%s.%06ldZ level=%s module=%s %s\n", stamp,
                          now.tv_nsec / 1000, levels[priority], module, text);
}

static void
tell_dropped (struct GspanLogRing *ring)
{
  struct GspanLine line;
  char *text;

  if (ring->dropped == 0)
    return;
  gspan_line_init (&line, "log-lines-dropped");
  gspan_line_u64 (&line, "count", ring->dropped);
  text = gspan_line_steal (&line);
  append (ring, "log", GSPAN_PRIORITY_WARNING, text);
  g_free (text);
  ring->dropped = 0;
}

void
gspan_log_ring_add (struct GspanLogRing *ring, guint64 now_us, const char *module,
                    enum GspanPriority priority, const char *text)
{
  guint64 second = now_us / GSPAN_SECOND;

  if (priority > ring->level)
    return;
  if (second != ring->second)
    {
      ring->second = second;
      ring->used = 0;
    }
  if (ring->pending->len + strlen (text) > PENDING_MAX
      || (ring->lines_per_s != 0 && priority >= GSPAN_PRIORITY_INFO
          && ring->used >= ring->lines_per_s))
    {
      ring->dropped++;
      ring->dropped_total++;
      return;
    }
  tell_dropped (ring);
  ring->used++;
  append (ring, module, priority, text);
  if (ring->pending->len >= FLUSH_AT)
    gspan_log_ring_flush (ring);
}

/* A pipe that is ready to be written to takes PIPE_BUF bytes without blocking. */
static bool
is_ready (int fd)
{
  struct pollfd item = { fd, POLLOUT, 0 };

  return poll (&item, 1, 0) == 1 && (item.revents & POLLOUT) != 0;
}

void
gspan_log_ring_flush (struct GspanLogRing *ring)
{
  size_t done = 0;

  while (done < ring->pending->len && is_ready (ring->fd))
    {
      size_t len = MIN (ring->pending->len - done, PIPE_BUF);
      ssize_t written = write (ring->fd, ring->pending->str + done, len);

      if (written < 0 && errno == EINTR)
        continue;
      if (written <= 0)
        break;
      done += (size_t)written;
    }
  g_string_erase (ring->pending, 0, (gssize)done);
}
