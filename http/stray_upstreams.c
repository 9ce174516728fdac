#include "http/stray_upstreams.h"

#include <string.h>

#include "common/clock.h"

enum
{
  UPSTREAMS_MAX = 256
};

#define KEPT_US (10 * GSPAN_SECOND)

void
gspan_stray_upstreams_init (struct GspanStrayUpstreams *upstreams)
{
  upstreams->until = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
gspan_stray_upstreams_finish (struct GspanStrayUpstreams *upstreams)
{
  g_hash_table_unref (upstreams->until);
}

/* Release with g_free (). */
static char *
authority_of (const char *url)
{
  static const char scheme_end[] = "://";
  const char *scheme = strstr (url, scheme_end);
  const char *authority = scheme != NULL ? scheme + sizeof scheme_end - 1 : url;

  return g_strndup (authority, strcspn (authority, "/?"));
}

static gboolean
has_passed (gpointer key, gpointer value, gpointer user)
{
  (void)key;
  return *(guint64 *)value <= *(const guint64 *)user;
}

void
gspan_stray_upstreams_note (struct GspanStrayUpstreams *upstreams, const char *url, guint64 now)
{
  guint64 *until;

  g_hash_table_foreach_remove (upstreams->until, has_passed, &now);
  if (g_hash_table_size (upstreams->until) >= UPSTREAMS_MAX)
    return;
  until = g_new (guint64, 1);
  *until = now + KEPT_US;
  g_hash_table_insert (upstreams->until, authority_of (url), until);
}

bool
gspan_stray_upstreams_has (const struct GspanStrayUpstreams *upstreams, const char *url,
                           guint64 now)
{
  const guint64 *until;
  char *authority;

  if (g_hash_table_size (upstreams->until) == 0)
    return false;
  authority = authority_of (url);
  until = g_hash_table_lookup (upstreams->until, authority);
  g_free (authority);
  return until != NULL && now < *until;
}
