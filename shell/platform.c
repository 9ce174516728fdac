#include "shell/platform.h"

#include "common/clock.h"

#define CALL_TIMEOUT_US (3 * GSPAN_SECOND)
#define WATCH_WAIT_US (10 * GSPAN_SECOND)

bool
gspan_platform_writes (enum GspanObjectOp op)
{
  return op == GSPAN_OBJECT_PUT;
}

static char *
make_url (const struct GspanActionObject *object, const char *address)
{
  switch (object->op)
    {
    case GSPAN_OBJECT_GET:
      return g_strdup_printf ("http://%s/v1/objects/%s", address, object->path);
    case GSPAN_OBJECT_PUT:
      return g_strdup_printf ("http://%s/v1/objects/%s?expect=%" G_GUINT64_FORMAT, address,
                              object->path, object->revision);
    case GSPAN_OBJECT_LIST:
      return g_strdup_printf ("http://%s/v1/objects?kinds=%s", address, object->path);
    case GSPAN_OBJECT_WATCH:
      return g_strdup_printf ("http://%s/v1/watch?kinds=%s&since=%" G_GUINT64_FORMAT
                              "&wait_ms=%" G_GUINT64_FORMAT,
                              address, object->path, object->revision, WATCH_WAIT_US / GSPAN_MS);
    case GSPAN_OBJECT_FETCH:
      return g_strdup_printf ("http://%s/%s", address, object->path);
    }
  return NULL;
}

void
gspan_platform_request (const struct GspanActionObject *object, const char *address,
                        struct GspanActionHttp *http)
{
  bool watch = object->op == GSPAN_OBJECT_WATCH;

  http->method = g_strdup (object->op == GSPAN_OBJECT_PUT ? "PUT" : "GET");
  http->url = make_url (object, address);
  http->body = object->body != NULL ? g_bytes_ref (object->body) : NULL;
  http->timeout_us = CALL_TIMEOUT_US + (watch ? WATCH_WAIT_US : 0);
  /* An answer to a second sending wouldn't tell whether the first one was done. */
  http->from_platform = true;
  http->send_once = gspan_platform_writes (object->op);
  if (object->body != NULL)
    gspan_headers_add (&http->headers, "Content-Type", GSPAN_STR ("application/json"));
}

enum GspanObjectResult
gspan_platform_result (enum GspanObjectOp op, const struct GspanEventHttp *answer)
{
  enum GspanObjectResult lost
      = gspan_platform_writes (op) ? GSPAN_OBJECT_UNKNOWN : GSPAN_OBJECT_UNAVAILABLE;

  if (answer->result == GSPAN_HTTP_NOT_SENT)
    return GSPAN_OBJECT_UNAVAILABLE;
  if (answer->result != GSPAN_HTTP_COMPLETE)
    return lost;
  switch (answer->status)
    {
    case 200:
      return GSPAN_OBJECT_OK;
    case 404:
      return GSPAN_OBJECT_MISSING;
    case 409:
      return GSPAN_OBJECT_CONFLICT;
    case 410:
      return GSPAN_OBJECT_GAP;
    case 429:
    case 503: /* speaks of the last sending only */
      return answer->send_count > 1 ? lost : GSPAN_OBJECT_UNAVAILABLE;
    default:
      return lost;
    }
}
