#include <string.h>

#include "common/clock.h"
#include "standin/standin.h"

/*
 * Stand-in for the platform: object API with versions, conditional writes and watches, VM list and
 * weight store, with outages, slowness and lost answers on order.
 */

enum
{
  HISTORY_MAX = 8192
};

#define POLL_S 0.01

struct Object
{
  char *kind;
  char *name;
  guint64 version;
  json_t *value; /* NULL where it is deleted */
};

struct Change
{
  guint64 revision;
  char *path;
};

struct Watch
{
  guint64 request;
  char **kinds;
  guint64 since;
  guint64 until;
};

struct Platform
{
  struct GspanStandin *standin;
  GHashTable *objects; /* path to struct Object */
  GQueue history;      /* struct Change, oldest first */
  guint64 revision;
  GPtrArray *watches;
  json_t *vms;
  json_t *vms_next; /* comes into sight at vms_at */
  guint64 vms_at;
  json_t *weights; /* model to newest version */
  guint64 outage_until;
  guint64 lose_answers; /* answers of writes still to be lost */
  guint64 reads;
  guint64 writes;
  double tokens; /* of the rate limit */
  guint64 tokens_at;
  ev_timer timer;
};

static json_t *
describe (const struct Object *object)
{
  return json_pack ("{s:s, s:s, s:I, s:O}", "kind", object->kind, "name", object->name, "version",
                    (json_int_t)object->version, "value",
                    object->value != NULL ? object->value : json_null ());
}

static bool
kind_matches (char **kinds, const char *path)
{
  const char *slash = strchr (path, '/');
  size_t len = (size_t)(slash - path);

  for (guint i = 0; kinds[i] != NULL; i++)
    {
      if (strlen (kinds[i]) == len && strncmp (kinds[i], path, len) == 0)
        return true;
    }
  return false;
}

static char **
kinds_of (struct GspanStr path)
{
  char *text = gspan_str_dup (path);
  char *query = strstr (text, "kinds=");
  char *plain = NULL;
  char **kinds;

  if (query != NULL)
    {
      query += strlen ("kinds=");
      query[strcspn (query, "&")] = '\0';
      plain = g_uri_unescape_string (query, NULL);
    }
  kinds = g_strsplit (plain != NULL ? plain : "", ",", -1);
  g_free (plain);
  g_free (text);
  return kinds;
}

static void
reply_list (struct Platform *platform, guint64 id, char **kinds)
{
  json_t *objects = json_array ();
  GHashTableIter iter;
  gpointer path;
  gpointer value;

  g_hash_table_iter_init (&iter, platform->objects);
  while (g_hash_table_iter_next (&iter, &path, &value))
    {
      if (kind_matches (kinds, path) && ((struct Object *)value)->value != NULL)
        json_array_append_new (objects, describe (value));
    }
  gspan_standin_reply (platform->standin, id, 200, json_pack ("{s:o}", "objects", objects),
                       platform->revision);
}

static json_t *
changes_since (struct Platform *platform, char **kinds, guint64 since)
{
  json_t *objects = json_array ();

  for (GList *item = platform->history.head; item != NULL; item = item->next)
    {
      struct Change *change = item->data;

      if (change->revision > since && kind_matches (kinds, change->path))
        json_array_append_new (objects,
                               describe (g_hash_table_lookup (platform->objects, change->path)));
    }
  return objects;
}

/* Answers the watch where there is something to say or its time is over. */
static bool
try_watch (struct Platform *platform, struct Watch *watch)
{
  struct Change *oldest = g_queue_peek_head (&platform->history);
  json_t *objects;

  if (platform->history.length == HISTORY_MAX && oldest->revision > watch->since + 1)
    {
      gspan_standin_reply (platform->standin, watch->request, 410, json_object (),
                           platform->revision);
      return true;
    }
  objects = changes_since (platform, watch->kinds, watch->since);
  if (json_array_size (objects) == 0 && gspan_clock_now () < watch->until)
    {
      json_decref (objects);
      return false;
    }
  gspan_standin_reply (platform->standin, watch->request, 200,
                       json_pack ("{s:o}", "objects", objects), platform->revision);
  return true;
}

static void
watch_free (gpointer data)
{
  struct Watch *watch = data;

  g_strfreev (watch->kinds);
  g_free (watch);
}

static void
run_watches (struct Platform *platform)
{
  for (guint i = platform->watches->len; i > 0; i--)
    {
      if (try_watch (platform, g_ptr_array_index (platform->watches, i - 1)))
        g_ptr_array_remove_index (platform->watches, i - 1);
    }
}

static void
add_watch (struct Platform *platform, const struct GspanHttpIncoming *incoming)
{
  struct Watch *watch = g_new0 (struct Watch, 1);

  watch->request = incoming->id;
  watch->kinds = kinds_of (incoming->path);
  watch->since = gspan_standin_query (incoming->path, "since", 0);
  watch->until
      = gspan_clock_now () + gspan_standin_query (incoming->path, "wait_ms", 1000) * GSPAN_MS;
  g_ptr_array_add (platform->watches, watch);
  run_watches (platform);
}

static void
drop_connection (struct Platform *platform, guint64 id)
{
  struct GspanHeaders headers;

  gspan_headers_init (&headers);
  gspan_http_server_begin (platform->standin->server, id, 200, &headers);
  gspan_http_server_cut (platform->standin->server, id);
  gspan_headers_finish (&headers);
}

static struct Object *
object_at (struct Platform *platform, const char *path)
{
  struct Object *object = g_hash_table_lookup (platform->objects, path);
  char **parts;

  if (object != NULL)
    return object;
  parts = g_strsplit (path, "/", 2);
  object = g_new0 (struct Object, 1);
  object->kind = g_strdup (parts[0]);
  object->name = g_strdup (parts[1]);
  g_strfreev (parts);
  g_hash_table_insert (platform->objects, g_strdup (path), object);
  return object;
}

static void
write_object (struct Platform *platform, const char *path, json_t *value)
{
  struct Object *object = object_at (platform, path);
  struct Change *change = g_new0 (struct Change, 1);

  json_decref (object->value);
  object->value = value;
  object->version = ++platform->revision;
  change->revision = object->version;
  change->path = g_strdup (path);
  g_queue_push_tail (&platform->history, change);
  while (platform->history.length > HISTORY_MAX)
    {
      struct Change *old = g_queue_pop_head (&platform->history);

      g_free (old->path);
      g_free (old);
    }
}

static void
put_object (struct Platform *platform, const struct GspanHttpIncoming *incoming, const char *path)
{
  guint64 expect = gspan_standin_query (incoming->path, "expect", 0);
  struct Object *object = g_hash_table_lookup (platform->objects, path);
  guint64 current = object != NULL && object->value != NULL ? object->version : 0;
  bool remove = gspan_str_equal (incoming->method, GSPAN_STR ("DELETE"));
  json_t *value = remove ? NULL : gspan_standin_body (incoming);

  platform->writes++;
  if (value == NULL && !remove)
    {
      gspan_standin_reply (platform->standin, incoming->id, 400,
                           json_pack ("{s:s}", "error", "the value is no JSON"), 0);
      return;
    }
  if (expect != current)
    {
      json_decref (value);
      gspan_standin_reply (platform->standin, incoming->id, 409,
                           json_pack ("{s:I}", "version", (json_int_t)current), current);
      return;
    }
  write_object (platform, path, value);
  if (platform->lose_answers > 0)
    {
      platform->lose_answers--;
      drop_connection (platform, incoming->id);
    }
  else
    gspan_standin_reply (platform->standin, incoming->id, 200, json_object (), platform->revision);
  run_watches (platform);
}

static void
serve_object (struct Platform *platform, const struct GspanHttpIncoming *incoming, const char *path)
{
  struct Object *object = g_hash_table_lookup (platform->objects, path);

  if (strchr (path, '/') == NULL)
    gspan_standin_reply (platform->standin, incoming->id, 400, json_object (), 0);
  else if (!gspan_str_equal (incoming->method, GSPAN_STR ("GET")))
    put_object (platform, incoming, path);
  else if (object == NULL || object->value == NULL)
    gspan_standin_reply (platform->standin, incoming->id, 404, json_object (), platform->revision);
  else
    gspan_standin_reply (platform->standin, incoming->id, 200, json_incref (object->value),
                         object->version);
}

static void
serve_weights (struct Platform *platform, const struct GspanHttpIncoming *incoming,
               const char *model)
{
  json_t *body;

  if (gspan_str_equal (incoming->method, GSPAN_STR ("POST")))
    {
      body = gspan_standin_body (incoming);
      json_object_set (platform->weights, model, json_object_get (body, "version"));
      json_decref (body);
    }
  body = json_object_get (platform->weights, model);
  if (body == NULL)
    gspan_standin_reply (platform->standin, incoming->id, 404, json_object (), 0);
  else
    gspan_standin_reply (platform->standin, incoming->id, 200, json_pack ("{s:O}", "version", body),
                         0);
}

static void
serve_admin (struct Platform *platform, const struct GspanHttpIncoming *incoming, const char *what)
{
  json_t *body = gspan_standin_body (incoming);
  json_t *answer = json_object ();

  if (strcmp (what, "vms") == 0)
    {
      json_decref (platform->vms_next);
      platform->vms_next = json_incref (body);
      platform->vms_at = gspan_clock_now () + (guint64)platform->standin->list_lag_ms * GSPAN_MS;
    }
  else if (strcmp (what, "outage") == 0)
    platform->outage_until
        = gspan_clock_now ()
          + (guint64)json_integer_value (json_object_get (body, "ms")) * GSPAN_MS;
  else if (strcmp (what, "lose") == 0)
    platform->lose_answers += (guint64)json_integer_value (json_object_get (body, "answers"));
  else if (strcmp (what, "counts") == 0)
    {
      json_object_set_new (answer, "reads", json_integer ((json_int_t)platform->reads));
      json_object_set_new (answer, "writes", json_integer ((json_int_t)platform->writes));
    }
  json_decref (body);
  gspan_standin_reply (platform->standin, incoming->id, 200, answer, 0);
}

static bool
over_rate (struct Platform *platform)
{
  guint64 now = gspan_clock_now ();
  double rate = platform->standin->rate;

  if (rate <= 0)
    return false;
  platform->tokens += (double)(now - platform->tokens_at) / (double)GSPAN_SECOND * rate;
  platform->tokens = MIN (platform->tokens, rate);
  platform->tokens_at = now;
  if (platform->tokens < 1)
    return true;
  platform->tokens -= 1;
  return false;
}

static void
serve_vms (struct Platform *platform, guint64 id)
{
  if (platform->vms_next != NULL && gspan_clock_now () >= platform->vms_at)
    {
      json_decref (platform->vms);
      platform->vms = platform->vms_next;
      platform->vms_next = NULL;
    }
  gspan_standin_reply (platform->standin, id, 200, json_incref (platform->vms), 0);
}

static void
on_request (void *user, const struct GspanHttpIncoming *incoming)
{
  struct Platform *platform = user;
  char *path = gspan_str_dup (incoming->path);
  char **kinds;

  path[strcspn (path, "?")] = '\0';
  platform->reads += gspan_str_equal (incoming->method, GSPAN_STR ("GET"));
  if (g_str_has_prefix (path, "/admin/"))
    serve_admin (platform, incoming, path + strlen ("/admin/"));
  else if (g_str_has_prefix (path, "/v1/weights/"))
    serve_weights (platform, incoming, path + strlen ("/v1/weights/"));
  else if (gspan_clock_now () < platform->outage_until)
    drop_connection (platform, incoming->id);
  else if (over_rate (platform))
    gspan_standin_reply (platform->standin, incoming->id, 429, json_object (), 0);
  else if (g_str_has_prefix (path, "/v1/objects/"))
    serve_object (platform, incoming, path + strlen ("/v1/objects/"));
  else if (strcmp (path, "/v1/objects") == 0)
    {
      kinds = kinds_of (incoming->path);
      reply_list (platform, incoming->id, kinds);
      g_strfreev (kinds);
    }
  else if (strcmp (path, "/v1/watch") == 0)
    add_watch (platform, incoming);
  else if (strcmp (path, "/v1/vms") == 0)
    serve_vms (platform, incoming->id);
  else
    gspan_standin_reply (platform->standin, incoming->id, 404, json_object (), 0);
  g_free (path);
}

static void
on_gone (void *user, guint64 id)
{
  struct Platform *platform = user;

  for (guint i = platform->watches->len; i > 0; i--)
    {
      struct Watch *watch = g_ptr_array_index (platform->watches, i - 1);

      if (watch->request == id)
        g_ptr_array_remove_index (platform->watches, i - 1);
    }
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct Platform *platform = timer->data;

  (void)loop;
  (void)events;
  if (gspan_clock_now () >= platform->outage_until)
    run_watches (platform);
}

void
gspan_standin_run_platform (struct GspanStandin *standin)
{
  struct Platform platform = { 0 };

  platform.standin = standin;
  platform.objects = g_hash_table_new (g_str_hash, g_str_equal);
  g_queue_init (&platform.history);
  platform.watches = g_ptr_array_new_with_free_func (watch_free);
  platform.vms = json_pack ("{s:[]}", "vms");
  platform.weights = json_object ();
  platform.tokens = standin->rate;
  platform.tokens_at = gspan_clock_now ();
  standin->handler.request = on_request;
  standin->handler.gone = on_gone;
  standin->handler.user = &platform;
  ev_timer_init (&platform.timer, on_timer, POLL_S, POLL_S);
  platform.timer.data = &platform;
  ev_timer_start (standin->loop, &platform.timer);
  ev_run (standin->loop, 0);
}
