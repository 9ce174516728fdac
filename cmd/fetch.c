#include "cmd/fetch.h"

#include <curl/curl.h>
#include <string.h>

enum
{
  TIMEOUT_MS = 10000,
  BODY_MAX = 64 << 20 /* bytes of an answer */
};

static size_t
on_data (char *data, size_t size, size_t count, void *user)
{
  struct GspanFetch *fetch = user;

  if (fetch->body->len + size * count > BODY_MAX)
    return 0;
  g_string_append_len (fetch->body, data, (gssize)(size * count));
  return size * count;
}

static size_t
on_header (char *data, size_t size, size_t count, void *user)
{
  static const char name[] = "X-Revision:";
  struct GspanFetch *fetch = user;
  size_t len = size * count;

  if (len > sizeof name && g_ascii_strncasecmp (data, name, sizeof name - 1) == 0)
    fetch->revision = g_ascii_strtoull (data + sizeof name - 1, NULL, 10);
  return len;
}

static struct curl_slist *
make_headers (const struct GspanFetchRequest *request)
{
  struct curl_slist *headers = curl_slist_append (NULL, "Expect:");
  char *line;

  headers = curl_slist_append (headers, "Content-Type: application/json");
  if (request->token == NULL)
    return headers;
  line = g_strconcat ("Authorization: Bearer ", request->token, NULL);
  headers = curl_slist_append (headers, line);
  g_free (line);
  return headers;
}

static enum GspanErrorCode
classify (CURLcode code)
{
  switch (code)
    {
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
      return GSPAN_ERROR_UNAVAILABLE;
    default:
      return GSPAN_ERROR_UNKNOWN;
    }
}

bool
gspan_fetch (struct GspanFetch *fetch, const struct GspanFetchRequest *request,
             struct GspanError *error)
{
  CURL *easy = curl_easy_init ();
  struct curl_slist *headers = make_headers (request);
  long timeout_ms = request->timeout_ms != 0 ? request->timeout_ms : TIMEOUT_MS;
  CURLcode code;

  fetch->status = 0;
  fetch->revision = 0;
  fetch->body = g_string_new (NULL);
  curl_easy_setopt (easy, CURLOPT_URL, request->url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, request->method);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, timeout_ms);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_data);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, fetch);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, fetch);
  if (request->body != NULL)
    curl_easy_setopt (easy, CURLOPT_POSTFIELDS, request->body);
  code = curl_easy_perform (easy);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &fetch->status);
  curl_easy_cleanup (easy);
  curl_slist_free_all (headers);
  if (code != CURLE_OK)
    return gspan_error_set (error, classify (code), "%s: %s", request->url,
                            curl_easy_strerror (code));
  return true;
}

void
gspan_fetch_finish (struct GspanFetch *fetch)
{
  g_string_free (fetch->body, TRUE);
}
