#include "desk/parse.h"

#include <jansson.h>
#include <string.h>

#include "route/choose.h"

static const struct GspanStr completions_path = { "/v1/completions", 15 };
static const struct GspanStr call_prefix = { "/call/", 6 };

static bool
find_route (struct GspanDeskTarget *target, const struct GspanRecords *records, const char *name,
            const char *firm, bool completions, struct GspanError *error)
{
  target->route = gspan_records_find (records, GSPAN_RECORD_ROUTE, name);
  if (!gspan_record_serves (target->route, firm)
      || target->route->u.route.completions != completions)
    {
      target->route = NULL;
      return gspan_error_set (error, GSPAN_ERROR_INPUT, "no %s route is called \"%s\"",
                              completions ? "completions" : "plain", name);
    }
  return true;
}

static bool
read_completion (struct GspanDeskTarget *target, json_t *root, const struct GspanRecords *records,
                 const char *firm, int *status, const char **field, struct GspanError *error)
{
  json_t *model = json_object_get (root, "model");
  json_t *prompt = json_object_get (root, "prompt");
  json_t *stream = json_object_get (root, "stream");

  *status = 400;
  *field = "model";
  if (!json_is_string (model))
    return gspan_error_set (error, GSPAN_ERROR_INPUT, "missing or no string");
  *field = "prompt";
  if (!json_is_string (prompt))
    return gspan_error_set (error, GSPAN_ERROR_INPUT, "missing or no string");
  *field = "stream";
  if (stream != NULL && !json_is_boolean (stream))
    return gspan_error_set (error, GSPAN_ERROR_INPUT, "neither true nor false");
  *status = 404;
  *field = "model";
  if (!find_route (target, records, json_string_value (model), firm, true, error))
    return false;
  target->path = gspan_str_dup (completions_path);
  target->stream = json_is_true (stream);
  target->prefix_hash = gspan_route_prefix_hash (
      (struct GspanStr){ json_string_value (prompt), json_string_length (prompt) });
  return true;
}

static bool
parse_completion (struct GspanDeskTarget *target, const struct GspanEventRequest *request,
                  const struct GspanRecords *records, int *status, const char **field,
                  struct GspanError *error)
{
  struct GspanStr body = gspan_str_from_bytes (request->body);
  json_error_t problem;
  json_t *root = json_loadb (body.data != NULL ? body.data : "", body.len, 0, &problem);
  bool ok;

  if (!json_is_object (root))
    {
      *status = 400;
      *field = "body";
      json_decref (root);
      return gspan_error_set (error, GSPAN_ERROR_INPUT, "no JSON object: line %d column %d: %s",
                              problem.line, problem.column, problem.text);
    }
  ok = read_completion (target, root, records, request->firm, status, field, error);
  json_decref (root);
  return ok;
}

static bool
parse_call (struct GspanDeskTarget *target, const struct GspanEventRequest *request,
            const struct GspanRecords *records, int *status, const char **field,
            struct GspanError *error)
{
  struct GspanStr rest
      = { request->path.data + call_prefix.len, request->path.len - call_prefix.len };
  const char *slash = memchr (rest.data, '/', rest.len);
  size_t name_len = slash != NULL ? (size_t)(slash - rest.data) : rest.len;
  char *name = g_strndup (rest.data, name_len);
  bool ok;

  *status = 404;
  *field = "path";
  ok = find_route (target, records, name, request->firm, false, error);
  g_free (name);
  if (!ok)
    return false;
  target->path = slash != NULL ? g_strndup (slash, rest.len - name_len) : g_strdup ("/");
  return true;
}

bool
gspan_desk_target_init (struct GspanDeskTarget *target, const struct GspanEventRequest *request,
                        const struct GspanRecords *records, int *status, const char **field,
                        struct GspanError *error)
{
  memset (target, 0, sizeof *target);
  if (gspan_str_equal (request->path, completions_path))
    return parse_completion (target, request, records, status, field, error);
  if (gspan_str_has_prefix (request->path, call_prefix))
    return parse_call (target, request, records, status, field, error);
  *status = 404;
  *field = "path";
  return gspan_error_set (error, GSPAN_ERROR_INPUT, "no such resource");
}

void
gspan_desk_target_finish (struct GspanDeskTarget *target)
{
  g_free (target->path);
}
