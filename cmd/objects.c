#include "cmd/objects.h"

#include "cmd/fetch.h"

enum
{
  WRITE_TRIES = 4,
  RETRY_PAUSE_MS = 250,
  WATCH_SLACK_MS = 5000
};

void
gspan_object_finish (struct GspanObject *object)
{
  json_decref (object->value);
  object->value = NULL;
  object->version = 0;
  object->known = false;
  object->read_back = false;
}

static bool
get (const char *url, long timeout_ms, struct GspanFetch *fetch, struct GspanError *error)
{
  const struct GspanFetchRequest request
      = { .method = "GET", .url = url, .timeout_ms = timeout_ms };
  struct GspanError problem = { 0 };

  if (!gspan_fetch (fetch, &request, &problem))
    return gspan_error_set (error, GSPAN_ERROR_UNAVAILABLE, "%s", problem.message);
  if (fetch->status == 429 || fetch->status >= 500)
    return gspan_error_set (error, GSPAN_ERROR_UNAVAILABLE, "%s: status %ld", url, fetch->status);
  return true;
}

static bool
take_object (const struct GspanFetch *fetch, const char *url, struct GspanObject *object,
             struct GspanError *error)
{
  json_error_t problem;

  if (fetch->status == 404)
    return true;
  if (fetch->status != 200)
    return gspan_error_set (error, GSPAN_ERROR_INPUT, "%s: status %ld", url, fetch->status);
  object->value = json_loadb (fetch->body->str, fetch->body->len, JSON_DECODE_ANY, &problem);
  object->version = fetch->revision;
  if (object->value == NULL)
    return gspan_error_set (error, GSPAN_ERROR_UNAVAILABLE, "%s: answer is no JSON: %s", url,
                            problem.text);
  return true;
}

bool
gspan_object_read (const char *platform, const char *path, struct GspanObject *object,
                   struct GspanError *error)
{
  char *url = g_strdup_printf ("http://%s/v1/objects/%s", platform, path);
  struct GspanFetch fetch;
  bool ok;

  gspan_object_finish (object);
  ok = get (url, 0, &fetch, error) && take_object (&fetch, url, object, error);
  object->known = ok;
  gspan_fetch_finish (&fetch);
  g_free (url);
  return ok;
}

static bool
same_value (const json_t *a, const json_t *b)
{
  return a == b || (a != NULL && b != NULL && json_equal (a, b) == 1);
}

/* A write's answer was lost: says what the object shows of it now. */
static bool
settle (const char *platform, const char *path, guint64 expect, const json_t *value,
        struct GspanObject *stored, struct GspanError *error)
{
  struct GspanError problem = { 0 };

  if (!gspan_object_read (platform, path, stored, &problem))
    return gspan_error_set (error, GSPAN_ERROR_UNKNOWN,
                            "the answer was lost and the object can't be read back; the write may "
                            "have been done (%s)",
                            problem.message);
  if (stored->version != expect && same_value (stored->value, value))
    {
      stored->read_back = true;
      return true;
    }
  if (stored->version == expect)
    return gspan_error_set (error, GSPAN_ERROR_UNKNOWN,
                            "the answer was lost; the write was not in force when read back and "
                            "may still arrive");
  return gspan_error_set (error, GSPAN_ERROR_UNKNOWN,
                          "the answer was lost; version %" G_GUINT64_FORMAT
                          " holds something else now, the write may have been in force before it",
                          stored->version);
}

enum Attempt
{
  ATTEMPT_DONE,
  ATTEMPT_CONFLICT,
  ATTEMPT_REFUSED, /* surely not done, may be tried again */
  ATTEMPT_INVALID,
  ATTEMPT_LOST
};

static enum Attempt
attempt_write (const char *url, const char *text, guint64 *version, struct GspanError *error)
{
  const struct GspanFetchRequest request
      = { .method = text != NULL ? "PUT" : "DELETE", .url = url, .body = text };
  enum Attempt result = ATTEMPT_LOST;
  struct GspanFetch fetch;

  if (!gspan_fetch (&fetch, &request, error))
    result = error->code == GSPAN_ERROR_UNAVAILABLE ? ATTEMPT_REFUSED : ATTEMPT_LOST;
  else if (fetch.status == 200)
    result = ATTEMPT_DONE;
  else if (fetch.status == 409)
    result = ATTEMPT_CONFLICT;
  else if (fetch.status == 429 || fetch.status == 503)
    result = ATTEMPT_REFUSED;
  else if (fetch.status >= 400 && fetch.status < 500)
    result = ATTEMPT_INVALID;
  if (result != ATTEMPT_DONE && error->code == GSPAN_ERROR_NONE)
    gspan_error_set (error, GSPAN_ERROR_UNAVAILABLE, "status %ld: %.200s", fetch.status,
                     fetch.body->str);
  *version = fetch.revision;
  gspan_fetch_finish (&fetch);
  return result;
}

/* Tries until an answer settles it or the tries are used up. LOST tells of any lost answer. */
static enum Attempt
try_write (const char *url, const char *text, guint64 *version, bool *lost,
           struct GspanError *problem)
{
  enum Attempt result = ATTEMPT_REFUSED;

  for (guint i = 0; i < WRITE_TRIES; i++)
    {
      if (i > 0)
        g_usleep ((gulong)RETRY_PAUSE_MS * 1000 * i);
      *problem = (struct GspanError){ 0 };
      result = attempt_write (url, text, version, problem);
      *lost = *lost || result == ATTEMPT_LOST;
      if (result != ATTEMPT_LOST && result != ATTEMPT_REFUSED)
        break;
    }
  return result;
}

static bool
conclude_write (const char *platform, const char *path, enum Attempt result, guint64 expect,
                struct GspanObject *stored, const struct GspanError *problem,
                struct GspanError *error)
{
  if (result == ATTEMPT_INVALID)
    return gspan_error_set (error, GSPAN_ERROR_INPUT, "not written: %s", problem->message);
  if (result == ATTEMPT_REFUSED)
    return gspan_error_set (error, GSPAN_ERROR_UNAVAILABLE, "not written: %s", problem->message);
  if (!gspan_object_read (platform, path, stored, error))
    return gspan_error_set (error, GSPAN_ERROR_CONFLICT,
                            "not written: it is not at version %" G_GUINT64_FORMAT
                            " any more, and can't be read",
                            expect);
  return gspan_error_set (error, GSPAN_ERROR_CONFLICT,
                          "not written: version %" G_GUINT64_FORMAT
                          " was expected, version %" G_GUINT64_FORMAT " is stored",
                          expect, stored->version);
}

bool
gspan_object_write (const char *platform, const char *path, guint64 expect, json_t *value,
                    struct GspanObject *stored, struct GspanError *error)
{
  char *url = g_strdup_printf ("http://%s/v1/objects/%s?expect=%" G_GUINT64_FORMAT, platform, path,
                               expect);
  char *text = value != NULL ? json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY) : NULL;
  struct GspanError problem = { 0 };
  guint64 version = 0;
  bool lost = false;
  enum Attempt result = try_write (url, text, &version, &lost, &problem);
  bool ok = result == ATTEMPT_DONE;

  gspan_object_finish (stored);
  if (ok)
    {
      stored->known = true;
      stored->version = version;
      stored->value = json_incref (value);
    }
  else if (lost)
    ok = settle (platform, path, expect, value, stored, error);
  else
    ok = conclude_write (platform, path, result, expect, stored, &problem, error);
  free (text);
  g_free (url);
  return ok;
}

/* The "objects" array of a list's or a watch's answer. */
static json_t *
take_objects (const struct GspanFetch *fetch, const char *url, struct GspanError *error)
{
  json_t *root = json_loadb (fetch->body->str, fetch->body->len, 0, NULL);
  json_t *objects = json_incref (json_object_get (root, "objects"));

  json_decref (root);
  if (json_is_array (objects))
    return objects;
  json_decref (objects);
  gspan_error_set (error, GSPAN_ERROR_UNAVAILABLE, "%s: status %ld, no list of objects", url,
                   fetch->status);
  return NULL;
}

json_t *
gspan_object_list (const char *platform, const char *kinds, guint64 *revision,
                   struct GspanError *error)
{
  char *url = g_strdup_printf ("http://%s/v1/objects?kinds=%s", platform, kinds);
  struct GspanFetch fetch;
  json_t *objects = NULL;

  if (get (url, 0, &fetch, error))
    objects = take_objects (&fetch, url, error);
  *revision = fetch.revision;
  gspan_fetch_finish (&fetch);
  g_free (url);
  return objects;
}

json_t *
gspan_object_watch (const char *platform, const char *kinds, guint64 *revision, guint wait_ms,
                    struct GspanError *error)
{
  char *url = g_strdup_printf ("http://%s/v1/watch?kinds=%s&since=%" G_GUINT64_FORMAT "&wait_ms=%u",
                               platform, kinds, *revision, wait_ms);
  struct GspanFetch fetch;
  json_t *objects = NULL;

  if (!get (url, (long)wait_ms + WATCH_SLACK_MS, &fetch, error))
    ;
  else if (fetch.status == 410)
    gspan_error_set (error, GSPAN_ERROR_CONFLICT, "can't go on from revision %" G_GUINT64_FORMAT,
                     *revision);
  else
    objects = take_objects (&fetch, url, error);
  if (objects != NULL)
    *revision = MAX (*revision, fetch.revision);
  gspan_fetch_finish (&fetch);
  g_free (url);
  return objects;
}
