#include "links/relay_headers.h"

#include "common/clock.h"

const char *const gspan_relay_outcome_header = "Gspan-Relay-Outcome";

static const char header_prefix[] = "Gspan-Relay-";
static const char header_key[] = "Gspan-Relay-Key";
static const char header_upstream[] = "Gspan-Relay-Upstream";
static const char header_timeout[] = "Gspan-Relay-Timeout-Ms";
static const char header_stream[] = "Gspan-Relay-Stream";
static const char header_new_connection[] = "Gspan-Relay-New-Connection";
static const char header_send_once[] = "Gspan-Relay-Send-Once";
static const char header_of_caller[] = "Gspan-Relay-Of-Caller";
static const char header_why[] = "Gspan-Relay-Why";
static const char header_until_close[] = "Gspan-Relay-Until-Close";

static const char *const outcomes[]
    = { "answered", "refused", "not-sent", "lost", "timeout", "too-long" };

static void
write_flag (struct GspanHeaders *headers, const char *name, bool value)
{
  if (value)
    gspan_headers_add (headers, name, GSPAN_STR ("1"));
}

static bool
read_flag (const struct GspanHeaders *headers, const char *name)
{
  return gspan_str_equal (gspan_headers_get (headers, name), GSPAN_STR ("1"));
}

void
gspan_relay_write_request (const struct GspanRelayRequest *request, struct GspanHeaders *headers)
{
  gspan_headers_add (headers, header_key, request->key);
  gspan_headers_add (headers, header_upstream, request->upstream);
  gspan_headers_add_u64 (headers, header_timeout, MAX (1, request->timeout_us / GSPAN_MS));
  write_flag (headers, header_stream, request->stream);
  write_flag (headers, header_new_connection, request->new_connection);
  write_flag (headers, header_send_once, request->send_once);
  write_flag (headers, header_of_caller, request->of_caller);
}

void
gspan_relay_read_request (const struct GspanHeaders *headers, struct GspanRelayRequest *request)
{
  guint64 timeout_ms = 0;

  *request = (struct GspanRelayRequest){ 0 };
  request->key = gspan_headers_get (headers, header_key);
  request->upstream = gspan_headers_get (headers, header_upstream);
  gspan_headers_get_u64 (headers, header_timeout, &timeout_ms);
  request->timeout_us = timeout_ms * GSPAN_MS;
  request->stream = read_flag (headers, header_stream);
  request->new_connection = read_flag (headers, header_new_connection);
  request->send_once = read_flag (headers, header_send_once);
  request->of_caller = read_flag (headers, header_of_caller);
}

void
gspan_relay_write_outcome (enum GspanRelayOutcome outcome, const char *why,
                           struct GspanHeaders *headers)
{
  gspan_headers_add (headers, gspan_relay_outcome_header, gspan_str_from (outcomes[outcome]));
  gspan_headers_add (headers, header_why, gspan_str_from (why));
}

enum GspanRelayOutcome
gspan_relay_read_outcome (const struct GspanHeaders *headers, struct GspanStr *why)
{
  struct GspanStr text = gspan_headers_get (headers, gspan_relay_outcome_header);

  *why = gspan_headers_get (headers, header_why);
  if (text.data == NULL)
    return GSPAN_RELAY_ANSWERED;
  for (guint i = GSPAN_RELAY_REFUSED; i < G_N_ELEMENTS (outcomes); i++)
    {
      if (gspan_str_equal (text, gspan_str_from (outcomes[i])))
        return i;
    }
  return GSPAN_RELAY_LOST;
}

void
gspan_relay_write_until_close (struct GspanHeaders *headers)
{
  write_flag (headers, header_until_close, true);
}

bool
gspan_relay_read_until_close (const struct GspanHeaders *headers)
{
  return read_flag (headers, header_until_close);
}

bool
gspan_relay_is_header (const char *line)
{
  return g_ascii_strncasecmp (line, header_prefix, sizeof header_prefix - 1) == 0;
}
